Feature: The wait for a lost worker goes on when the owner changes
  Guards against a wait that begins anew with each owner, and never ends while owners
  change more often; and against a wait that ends while the worker's tasks run.

  Background:
    Given a fleet of 3 workers with 8 accelerators in 1 racks
    And 3 processes of ours

  Scenario Outline: Owners change often after a worker is lost
    Guards against tasks of a lost worker that are never started again.
    Given the tasks of a1 take 200 s
    When job a1 is handed in with steps
      | count | accelerators | most per worker |
      | 2     | 8            | 1               |
    And a1 runs on the fleet
    And 4 s pass
    And a worker that runs a1 <is lost>
    And <before> s pass
    And the scheduling process dies and is back after 2 s, <times> times in <gap> s each
    Then 2 tasks of a1 run on other workers
    And the fleet's ledger shows nothing wrong

    Examples:
      | is lost                  | before | gap | times |
      | is gone with its entry   | 1      | 10  | 2     |
      | is gone with its entry   | 1      | 5   | 4     |
      | is gone with its entry   | 0      | 10  | 3     |
      | is gone beside its entry | 1      | 10  | 2     |
      | is cut off               | 2      | 10  | 2     |

  Scenario Outline: A worker that was lost answers one owner and is lost again
    Guards against counting a wait on that began before the lease was extended again.
    Given the tasks of b1 take 200 s
    When job b1 is handed in with steps
      | count | accelerators | most per worker |
      | 2     | 8            | 1               |
    And b1 runs on the fleet
    And 4 s pass
    And a worker that runs b1 is cut off
    And <silent> s pass
    And the scheduling process dies and is back after 2 s, 1 times in <gap> s each
    And the next <late> writes are carried out 6 s late
    And the worker that was cut off is back
    And 0.8 s pass
    And the worker that was cut off is cut off again
    And the next 0 writes are carried out 6 s late
    And <again> s pass
    And the scheduling process dies and is back after 2 s, 1 times in 9 s each
    Then the fleet's ledger shows nothing wrong
    When 20 s pass
    Then 2 tasks of b1 run on other workers
    And the fleet's ledger shows nothing wrong

    Examples:
      | silent | gap | late | again |
      | 2      | 3   | 0    | 0     |
      | 2      | 3   | 0    | 1     |
      | 2      | 2.5 | 99   | 0     |
      | 2      | 3   | 1    | 0     |
      | 1.2    | 4.5 | 0    | 0.2   |

  Scenario: An earlier owner that had stopped is lost much later
    Guards against waiting for the leases of an owner that is known to have stopped.
    Given the tasks of d1 take 200 s
    When job d1 is handed in with steps
      | count | accelerators | most per worker |
      | 2     | 8            | 1               |
    And d1 runs on the fleet
    And 10 s pass
    And the scheduling process dies and is back after 2 s, 1 times in 8 s each
    And a process that doesn't schedule dies for good, the former owner
    And a worker that runs d1 is lost at the moment at which the owner dies
    And 13 s pass
    Then 2 tasks of d1 run on other workers
    And the fleet's ledger shows nothing wrong

  Scenario Outline: The record of silent workers can't be read
    Guards against an owner that can't begin, and against a bound by another writer.
    Given the tasks of c1 take 200 s
    When job c1 is handed in with steps
      | count | accelerators | most per worker |
      | 2     | 8            | 1               |
    And c1 runs on the fleet
    And a worker that runs c1 is gone with its entry
    And 1 s pass
    And the record of silent workers is <damaged> while the owner changes
    And 25 s pass
    Then 2 tasks of c1 run on other workers
    And the fleet's ledger shows nothing wrong

    Examples:
      | damaged       |
      | overwritten   |
      | nested deeply |
