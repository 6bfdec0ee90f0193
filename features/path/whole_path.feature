Feature: The whole path through separate processes

  Three VMs' worth of programs run beside a stand-in for the platform. What a
  caller sends to any entry is answered, and what an operator sets holds in all.

  Background:
    Given domeworks runs on 3 VMs

  Scenario: An urgent preview is answered with its own answer
    When a technician asks entry 1 for the preview "sky"
    Then the answer is whole and belongs to the preview "sky"

  Scenario: A caption pass that is sent again through another entry runs once
    The caller's connection was cut, so the same pass is sent again to another
    entry. If it ran twice, the client would be billed twice.

    When a technician sends the caption pass "night-1" to entry 1
    And the technician sends the caption pass "night-1" again to entry 2
    Then both callers have the same answer and it ran once

  Scenario: A render and a gang over two workers run whole and end
    When a producer submits a render of 8 and a gang of 16 accelerators
    Then both jobs finish
    And each of them ran once on all its accelerators at the same time

  Scenario: A job that is submitted again under the same request id is one job
    When a producer submits the same render to entry 1 and to entry 2
    Then both submissions name one job

  Scenario: A cancelled render stops and frees its accelerators
    When a producer submits a render of an hour and cancels it once it runs
    Then the job is cancelled and its workers run nothing

  Scenario: A setting that an operator changes is in force in every process
    When the operator sets the queue limit to 1234 with the command line
    Then every process has applied that revision

  Scenario: Wrong requests are refused as not run, and nothing else is disturbed
    When callers send every kind of wrong request to entry 1
    Then each has its own error kind and says that it was not run
    And a preview through entry 1 is answered as before
