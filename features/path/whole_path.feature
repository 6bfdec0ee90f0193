Feature: The whole path through separate processes

  The programs of three VMs run with a stand-in for the platform. A request to any entry
  is answered, and a setting of an operator is in force in every process.

  Background:
    Given domeworks runs on 3 VMs

  Scenario: An urgent preview is answered with its own answer
    When a technician asks entry 1 for the preview "sky"
    Then the answer is complete and belongs to the preview "sky"

  Scenario: A caption pass that is retried through another entry runs once
    Guards against a client that is billed twice because the same pass ran twice: the
    caller's connection was lost, so it retries through another entry.

    When a technician sends the caption pass "night-1" to entry 1
    And the technician sends the caption pass "night-1" again to entry 2
    Then both callers have the same answer and it ran once

  Scenario: A render and a gang over two workers run completely and finish
    When a producer submits a render of 8 and a gang of 16 accelerators
    Then both jobs finish
    And each of them ran once on all its accelerators at the same time

  Scenario: A job that is submitted twice with the same request id is one job
    When a producer submits the same render to entry 1 and to entry 2
    Then both submissions name one job

  Scenario: A cancelled render stops and frees its accelerators
    When a producer submits a render of an hour and cancels it once it runs
    Then the job is cancelled and its workers run nothing

  Scenario: A changed setting is in force in every process
    When the operator sets the queue limit to 1234 with the command line
    Then every process has applied that revision

  Scenario: Invalid requests are refused as not run, and others are not affected
    When callers send every kind of invalid request to entry 1
    Then each has its own error kind and says that it was not run
    And a preview through entry 1 is answered as before
