Feature: Workers on which a task failed are avoided for a while
  Guards against a task that never starts again after one failure, and against starting
  it again and again where it fails.

  Scenario: A task that lasts fails on the only worker with room
    Guards against waiting for workers that are full of work that lasts.
    Given a fleet of 3 workers with 8 accelerators in 1 racks
    And 1 processes of ours
    And the tasks of f1 last for ever
    And the tasks of f2 take 4 s
    And job f2 fails after that, wherever it runs
    When job f1 of 2 tasks that last, with 8 accelerators each, is handed in
    And f1 runs on the fleet
    And job f2 of 1 tasks that last, with 2 accelerators each, is handed in
    And 30 s pass
    Then tasks of f2 have been started 4 times or more
    And a task of f2 runs within 3 s

  Scenario Outline: A task has failed on one of two workers
    Guards against an avoidance that costs a task its place, or that never ends.
    Given a fleet state with a task that failed on worker 0 <seconds> s ago
    And worker 1 has <accelerators> free accelerators of 8, and worker 0 has 4
    When a pass is planned
    Then the task is placed on <worker>

    Examples:
      | seconds | accelerators | worker   |
      | 1       | 0            | none     |
      | 1       | 8            | worker 1 |
      | 2.5     | 0            | worker 0 |
      | 2.5     | 8            | worker 1 |
      | 29      | 8            | worker 1 |
      | 31      | 8            | worker 0 |

  Scenario: Two tasks of a step have failed at different times
    Guards against taking them for alike, so that the one that need not wait any more
    is passed over.
    Given a fleet state with a task that failed on worker 0 1 s ago
    And worker 1 has 0 free accelerators of 8, and worker 0 has 4
    And another task of its step that failed there 3 s ago
    When a pass is planned
    Then only the other task is placed
