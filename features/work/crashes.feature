Feature: A task that crashes workers is given up, and the tasks beside it are not
  Guards against a task that takes one worker after another down, and against ending
  jobs whose tasks were only there.

  Background:
    Given a fleet of 6 workers with 8 accelerators in 2 racks
    And crashed workers are back after 3.5 s
    And 3 processes of ours

  Scenario: A task that crashes each worker that starts it is given up
    Guards against starting it again without end, since no run of it is reported as failed.
    Given task 0 of c1 crashes its worker after 0.01 s
    When job c1 is handed in with steps
      | count | accelerators |
      | 2     | 8            |
    Then job c1 is shown as failed within 16 s
    When 10 s pass
    Then at most 3 workers have crashed
    And the fleet's ledger shows nothing wrong

  Scenario: The owner changes between the crashes of one task
    Guards against a count of crashes that begins anew with each owner.
    Given task 0 of c2 crashes its worker after 0.01 s
    When job c2 is handed in with steps
      | count | accelerators |
      | 1     | 1            |
    And 1 s pass
    And the scheduling process dies
    And 4 s pass
    And all processes die and are back after 0.2 s
    Then job c2 is shown as failed within 25 s
    When 10 s pass
    Then at most 3 workers have crashed
    And the fleet's ledger shows nothing wrong
