Feature: What keeps a task from running twice where nothing else does
  Most guards cover for one another, so the machine rarely shows what one is needed for.
  In each of these runs one guard stands alone: without it the ledger shows the fault.

  Background:
    Given a fleet in trouble with 2 processes of ours

  Scenario Outline: An owner wakes between two tries of a start
    The owner sleeps for 20 s while the first try of a start goes unanswered. Its
    successor can't ask the worker, waits until nothing can run there, and starts the
    task elsewhere. The sleeper's next try would reach the worker, which has heard of no
    other owner: a second run beside the first.
    Given the next 1 orders of the owner of the fleet in trouble are lost before their effect
    When a job of large tasks of 12 s is handed in to the fleet in trouble
    And <moment> s pass in the fleet in trouble
    And the owner of the fleet in trouble sleeps for 20 s, and no other reaches <vm>
    And 1 s pass in the fleet in trouble
    Then nothing ran twice in the fleet in trouble

    Examples: whose start is lost depends on the order of sending
      | moment | vm |
      | 0.03   | v0 |
      | 0.03   | v1 |
      | 0.03   | v2 |
      | 0.2    | v0 |
      | 0.2    | v1 |
      | 0.2    | v2 |

  Scenario Outline: An owner that has lost the store goes on reaching a worker
    It extends the worker's lease, so nothing is lost when the store is down for all.
    Extended for good, the run there would go on when the successor, which can't ask
    the worker, has waited long enough and starts the task elsewhere.
    When a job of large tasks of 40 s is handed in to the fleet in trouble
    And 0.5 s pass in the fleet in trouble
    And the owner of the fleet in trouble loses the store for 30 s, reaches <vm> only, and no other reaches that
    And 1 s pass in the fleet in trouble
    Then nothing ran twice in the fleet in trouble

    Examples:
      | vm |
      | v0 |
      | v1 |
      | v2 |

  Scenario Outline: A look's answer is overtaken by a start, its stop and their answers
    A worker answers a look, then takes the start of a gang's member, which is stopped
    at once, as another member's worker refuses. The answer to the look comes last, and
    shows nothing of the run. Taken for news, the run counts as gone while it is still
    stopping, and the gang's next run starts beside it.
    Given answers to looks come late in the fleet in trouble, and stops take 0.4 s
    And <vm> refuses every start in the fleet in trouble for 2 s from <moment> s on
    When a job of a gang of two of 3 s is handed in to the fleet in trouble
    And 2 s pass in the fleet in trouble
    Then nothing ran twice in the fleet in trouble
    And the job on the fleet in trouble is completed within 60 s

    Examples:
      | vm | moment |
      | v0 | 0.1    |
      | v0 | 0.2    |
      | v0 | 0.3    |
      | v0 | 0.4    |
      | v0 | 0.5    |
      | v0 | 0.6    |
      | v0 | 0.7    |
      | v0 | 0.8    |
      | v0 | 0.9    |
      | v0 | 1.0    |
      | v0 | 1.1    |
      | v0 | 1.2    |
      | v0 | 1.3    |
      | v1 | 0.1    |
      | v1 | 0.3    |
      | v1 | 0.5    |
      | v1 | 0.7    |
      | v1 | 0.9    |
      | v1 | 1.1    |

  Scenario Outline: A look's answer is overtaken by a start and its answer
    Taken for news, the run counts as lost: it is stopped and done again, and its caller
    waits twice as long.
    Given answers to looks come late in the fleet in trouble, and stops take 0.4 s
    When <moment> s pass in the fleet in trouble
    And a job of tasks of 3 s is handed in to the fleet in trouble
    And 6 s pass in the fleet in trouble
    Then the job on the fleet in trouble is known as completed
    And each task was started once in the fleet in trouble

    Examples:
      | moment |
      | 0.1    |
      | 0.3    |
      | 0.5    |
      | 0.7    |
      | 0.9    |
      | 1.1    |
      | 1.3    |

  Scenario Outline: An owner dies while the record of a run is written
    The store gets the record too late to take it. A start that had been sent meanwhile
    would run unknown to the successor, which can't ask that worker and starts the task
    elsewhere beside it.
    Given no process but the owner reaches <vm> in the fleet in trouble
    When a job of large tasks of 12 s is handed in to the fleet in trouble
    And <moment> s pass in the fleet in trouble
    And the next 2 writes come 9 s late in the fleet in trouble
    And 0.1 s pass in the fleet in trouble
    And the owner of the fleet in trouble is killed
    And 12 s pass in the fleet in trouble
    Then nothing ran twice in the fleet in trouble
    And the job on the fleet in trouble is completed within 60 s

    Examples:
      | vm | moment |
      | v0 | 0.006  |
      | v0 | 0.008  |
      | v0 | 0.01   |
      | v1 | 0.006  |
      | v1 | 0.008  |
      | v1 | 0.01   |
