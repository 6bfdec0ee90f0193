Feature: A worker starts again under its id
  Guards against keeping by a worker's id what belongs to one start of it.

  Background:
    Given a fleet of 4 workers that start again under their ids
    And 2 processes of ours

  Scenario: Tasks end well on a restarted worker
    Guards against acknowledging the former start's ends to the next one, which drops
    its own ends up to that number, so that their tasks run again.
    When job a1 is handed in with steps
      | count | accelerators |
      | 24    | 1            |
    Then job a1 is shown as completed within 10 s
    When worker w1 starts again under its id after 3 s
    And 2 s pass
    And job a2 is handed in with steps
      | count | accelerators |
      | 24    | 1            |
    Then job a2 is shown as completed within 10 s
    And no task of a2 was started twice
    And the fleet's ledger shows nothing wrong

  Scenario Outline: A worker restarts while tasks run on it
    Guards against waiting out the former start's lease, and against its ends and its
    clock counting for the next one.
    Given the tasks of b1 take 6 s
    When job b1 is handed in with steps
      | count | accelerators |
      | 24    | 1            |
    And b1 runs on the fleet
    And worker w1 starts again under its id after <down> s
    Then b1 runs on the fleet within 4 s
    And job b1 is shown as completed within 12 s
    And the fleet's ledger shows nothing wrong

    Examples:
      | down |
      | 0    |
      | 1    |
      | 3    |

  Scenario Outline: A start is carried out late by the next start of its worker
    Guards against starting a task elsewhere beside an order that was left unanswered:
    a worker that starts anew has seen no fence.
    Given the next 3 orders to worker w1 are carried out <late> s late
    And the tasks of c1 take 20 s
    When 5 s pass
    And job c1 is handed in with steps
      | count | accelerators |
      | 3     | 8            |
    And 0.6 s pass
    And worker w1 starts again under its id after <down> s
    And <wait> s pass
    Then the fleet's ledger shows nothing wrong
    And job c1 is shown as completed within 60 s
    And the fleet's ledger shows nothing wrong

    Examples:
      | late | down | wait |
      | 2    | 0.5  | 4    |
      | 5    | 0    | 6    |
      | 9    | 8    | 12   |
      | 11.5 | 9    | 12   |

  Scenario Outline: A worker restarts while the scheduling process changes
    Guards against taking a record of a worker for one of its present start.
    Given the tasks of d1 take 6 s
    When job d1 is handed in with steps
      | count | accelerators |
      | 24    | 1            |
    And d1 runs on the fleet
    And the scheduling process dies
    And worker w1 starts again under its id after <down> s
    Then d1 runs on the fleet within 6 s
    And job d1 is shown as completed within 14 s
    And the fleet's ledger shows nothing wrong

    Examples:
      | down |
      | 0    |
      | 3    |

  Scenario: A worker restarts with less room
    Guards against placing work by the capacity of the former start.
    When worker w1 starts again under its id after 1 s, with 2 accelerators
    And job e1 is handed in with steps
      | count | accelerators |
      | 12    | 3            |
    Then job e1 is shown as completed within 20 s
    And the fleet's ledger shows nothing wrong

  Scenario: An entry of a restarting worker names no start
    Guards against giving work to an incarnation whose end nothing would show.
    Given the tasks of f1 take 4 s
    When job f1 is handed in with steps
      | count | accelerators |
      | 24    | 1            |
    And f1 runs on the fleet
    And the entry of w1 names no start
    And 1 s pass
    And worker w1 starts again under its id after 1 s
    Then job f1 is shown as completed within 16 s
    And the fleet's ledger shows nothing wrong
