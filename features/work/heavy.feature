Feature: Scheduling under heavy load

  Scenario: Urgent work preempts a table that has just started
    A quote arrives while tables without checkpoints use every accelerator; it is not
    within its organisation's guarantee. Waiting for a table to end would make it too
    late for its customer.
    Given a fleet state with 1 workers of 4 accelerators
    And 4 low-priority tasks without checkpoints have run for 2 s
    When an urgent task of one accelerator waits
    Then one of the low-priority tasks is stopped

  Scenario: A table that has run for long is not wasted for other work
    Given a fleet state with 1 workers of 4 accelerators
    And 4 low-priority tasks without checkpoints have run for 6 s
    When an urgent task of one accelerator waits
    Then nothing is stopped

  Scenario Outline: Work does not count as new after a change of owner
    Guards against wasting old unsaved work after a change of owner.
    Given a fleet state with 1 workers of 4 accelerators
    And 4 low-priority tasks <saving> run under an earlier owner
    When an urgent task of one accelerator and 1 s waits
    Then <what> stopped

    Examples:
      | saving              | what                          |
      | without checkpoints | nothing is                    |
      | with checkpoints    | one of the low-priority tasks is |

  Scenario: An urgent gang of a whole worker preempts a few old tasks
    Unsaved tasks of a low-priority job are spread over the racks, and all of them are
    old. If none of them could be stopped, a gang that needs whole workers would wait
    until they have ended, and its caller would have left by then.
    Given a fleet state with 1 workers of 4 accelerators
    And 2 low-priority tasks without checkpoints have run for 6 s
    When an urgent gang of 1 tasks of 4 accelerators waits
    Then low-priority tasks are stopped whose cost is at most 2 times its own work

  Scenario: The locality wait of a gang uses learned run times
    Callers' estimates are far too low. With them a rebuild of ten seconds would go to
    two racks after one second, and take thirty.
    Given a fleet state with 2 racks of 3 workers of 8 accelerators
    And runs of 10 s with callers' estimates of 1 s
    And 8 accelerators are in use on each worker but the first of each rack
    When a gang of 2 tasks of 8 accelerators bound to one rack has waited for 8 s
    Then it waits on

  Scenario: In a fleet that is mostly idle the gang goes to two racks instead
    No other work needs the room, so an early start in two racks is better.
    Given a fleet state with 2 racks of 3 workers of 8 accelerators
    And runs of 10 s with callers' estimates of 1 s
    And 1 accelerators are in use on each worker but the first of each rack
    When a gang of 2 tasks of 8 accelerators bound to one rack has waited for 8 s
    Then it starts

  Scenario Outline: Callers get more than with first fit on drawn heavy days
    Bursts of urgent gangs arrive while renders or rebuilds and tables fill the fleet.
    In order of arrival a quote waits behind them, and is too late for its customer.
    When 2 drawn days of <workload> are simulated with our plan and with first fit
    Then callers get at least <all> of the total worth, <more> more than with first fit
    And each kind of job gets at least <least>

    Examples:
      | workload          | all  | more | least |
      | thistlegate-heavy | 0.7  | 0.3  | 0.6   |
      | domeworks-heavy   | 0.6  | 0.3  | 0.45  |
