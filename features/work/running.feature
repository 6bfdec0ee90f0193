Feature: Jobs of steps run to their end on the fleet
  A caller submits a job at any process; one process schedules it on the workers.

  Background:
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And 3 processes of ours

  Scenario: A job of two steps runs in order and is shown as completed
    When job a1 is handed in with steps
      | count | accelerators | after |
      | 3     | 1            |       |
      | 2     | 4            | 0     |
    Then job a1 is shown as completed within 10 s
    And no task of step 1 of a1 started before step 0 had ended
    And the fleet's ledger shows nothing wrong

  Scenario: A pass that starts a whole step keeps to its bound on one worker
    A pass places all tasks of a step before any of them runs on a worker. If they were
    not counted as they are placed, more of them than the caller allows would share one
    worker, and one loss would take them all.
    When job a2 is handed in with steps
      | count | accelerators | most per worker |
      | 8     | 1            | 2               |
    Then job a2 is shown as completed within 10 s
    And at most 2 tasks of a2 ran on one worker

  Scenario: A job that fails everywhere is shown as failed
    Given job a3 fails wherever it runs
    When job a3 is handed in with steps
      | count | accelerators |
      | 1     | 1            |
    Then job a3 is shown as failed within 20 s
    And a3 was started 2 times

  Scenario: A cancelled job stops everywhere
    Given the tasks of a4 take 60 s
    When job a4 is handed in with steps
      | count | accelerators |
      | 4     | 2            |
    And a4 runs on the fleet
    And job a4 is cancelled
    Then nothing of a4 runs after 2 s
    And job a4 is shown as cancelled within 1 s

  Scenario: Guaranteed work has its accelerators back in time
    Low-priority work of others holds every accelerator when a guaranteed job arrives.
    If the job waited for that work to end, an operator would show an untested sky.
    Given domes is guaranteed 16 accelerators
    And the tasks of b1 take 60 s
    When job b1 is handed in to patient by post with steps
      | count | accelerators |
      | 32    | 1            |
    And 32 tasks of b1 run on the fleet
    And job c1 is handed in to urgent by domes with steps
      | count | accelerators | gang |
      | 2     | 8            | yes  |
    Then c1 runs on the fleet within 2.9 s
    And the fleet's ledger shows nothing wrong

  Scenario: An occurrence never starts before its time
    When job a6 is handed in to run 3 times every 4 s from 2 s on
    Then job a6 is shown as completed within 20 s
    And each occurrence of a6 started at its time
