Feature: What keeps a task from running twice where nothing else does
  Most guards overlap, so the state machine rarely shows what each one prevents. In each
  of these runs only one guard applies: without it the ledger shows the fault.

  Background:
    Given a fuzzed fleet with 2 processes of ours

  Scenario Outline: An owner resumes between two attempts of a start
    The owner is suspended for 20 s while the first attempt of a start goes unanswered.
    Its successor can't reach the worker, waits until nothing can run there, and starts
    the task elsewhere. The former owner's retry would reach the worker, which knows of
    no other owner: a second run beside the first.
    Given the next 1 orders of the owner of the fuzzed fleet are lost before they take effect
    When a job of large tasks of 12 s is submitted to the fuzzed fleet
    And <moment> s pass in the fuzzed fleet
    And the owner of the fuzzed fleet is suspended for 20 s, and no other process reaches <vm>
    And 1 s pass in the fuzzed fleet
    Then nothing ran twice in the fuzzed fleet

    Examples: whose start is lost depends on the order of sending
      | moment | vm |
      | 0.03   | v0 |
      | 0.03   | v1 |
      | 0.03   | v2 |
      | 0.2    | v0 |
      | 0.2    | v1 |
      | 0.2    | v2 |

  Scenario Outline: An owner that has lost the store goes on reaching a worker
    It extends the worker's lease, so nothing is lost when the store is down for all
    processes. If it extended the lease without limit, the run would go on when the
    successor, which can't reach the worker, has waited long enough and starts the task
    elsewhere.
    When a job of large tasks of 40 s is submitted to the fuzzed fleet
    And 0.5 s pass in the fuzzed fleet
    And the owner of the fuzzed fleet loses the store for 30 s, reaches <vm> only, and no other process does
    And 1 s pass in the fuzzed fleet
    Then nothing ran twice in the fuzzed fleet

    Examples:
      | vm |
      | v0 |
      | v1 |
      | v2 |

  Scenario Outline: A poll's answer is overtaken by a start, its stop and their answers
    A worker answers a poll, then accepts the start of a gang's member, which is stopped
    at once, as another member's worker refuses. The answer to the poll arrives last and
    doesn't contain the run. If it counted as current, the run would count as gone while
    it is still stopping, and the gang's next run would start beside it.
    Given answers to polls come late in the fuzzed fleet, and stops take 0.4 s
    And <vm> refuses every start in the fuzzed fleet for 2 s from <moment> s on
    When a job of a gang of two of 3 s is submitted to the fuzzed fleet
    And 2 s pass in the fuzzed fleet
    Then nothing ran twice in the fuzzed fleet
    And the job on the fuzzed fleet is completed within 60 s

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

  Scenario Outline: A poll's answer is overtaken by a start and its answer
    If the answer counted as current, the run would count as lost: it would be
    stopped and run again, and its caller would wait twice as long.
    Given answers to polls come late in the fuzzed fleet, and stops take 0.4 s
    When <moment> s pass in the fuzzed fleet
    And a job of tasks of 3 s is submitted to the fuzzed fleet
    And 6 s pass in the fuzzed fleet
    Then the job on the fuzzed fleet is known as completed
    And each task was started once in the fuzzed fleet

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
    The store gets the record too late to accept it. A start that had been sent
    meanwhile would run without the successor knowing of it; the successor can't reach
    that worker and starts the task elsewhere beside it.
    Given no process but the owner reaches <vm> in the fuzzed fleet
    When a job of large tasks of 12 s is submitted to the fuzzed fleet
    And <moment> s pass in the fuzzed fleet
    And the next 2 writes come 9 s late in the fuzzed fleet
    And 0.1 s pass in the fuzzed fleet
    And the owner of the fuzzed fleet is killed
    And 12 s pass in the fuzzed fleet
    Then nothing ran twice in the fuzzed fleet
    And the job on the fuzzed fleet is completed within 60 s

    Examples:
      | vm | moment |
      | v0 | 0.006  |
      | v0 | 0.008  |
      | v0 | 0.01   |
      | v1 | 0.006  |
      | v1 | 0.008  |
      | v1 | 0.01   |
