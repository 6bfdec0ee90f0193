Feature: The platform's store loses answers, is slow or stops answering

  Scenario: Answers of the store are lost after their writes took effect
    The network drops answers from the store, so a writer can't know whether its
    write took effect. If it wrote again, a job would be accepted twice; if it treated
    the write as failed, the next change would revert an accepted setting.

    Given 3 VMs serve requests and operators
    And answers of the store are lost repeatedly
    When the same jobs are submitted through two entries, with passes and changes between
    Then each submission names one job, and each job ends whole and once
    And each pass between ran at most once, and what callers were told is true
    And every process has the last accepted change, and none applied an older one

  Scenario: The store takes most of a second for each call
    The platform's store is overloaded. Previews for an operator of a dome must not
    wait for it; renders start later, and nothing runs twice although leases are
    renewed late.

    Given 3 VMs serve requests and operators
    And the store takes 0.8 seconds for each call
    When a caption pass is sent, and previews one after the other
    Then the previews were answered before the pass
    And gangs that are submitted now, whose owner is killed, end whole and once

  Scenario: Open connections go silent permanently
    A network device has lost its state for the open connections to the workers and
    the store. They carry no more answers and are not reset. A process that waited on
    them for ever would leave a till without a quote while a render's lease lapses.

    Given 3 VMs serve requests and operators
    And 3 gangs of 15 seconds run
    And previews have been answered through each entry
    When all open connections to the workers and the store go silent
    Then previews through each entry are answered
    And a change of settings comes into force everywhere
    And all gangs end without a second start
