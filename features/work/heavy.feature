Feature: What callers get on a heavy day

  Scenario: Urgent work takes the place of a table that has just begun
    A clerk's quote comes while tables without checkpoints hold every accelerator;
    it is not within its organisation's guarantee. Waiting for a table to end takes
    longer than the clerk's customer does.
    Given a fleet of decisions with 1 workers of 4 accelerators
    And 4 patient tasks without checkpoints run since 2 s
    When an urgent task of one accelerator waits
    Then one of the patient tasks is stopped

  Scenario: A table that has run for long is not thrown away for other work
    Given a fleet of decisions with 1 workers of 4 accelerators
    And 4 patient tasks without checkpoints run since 6 s
    When an urgent task of one accelerator waits
    Then nothing is stopped

  Scenario Outline: A change of owner makes no work young
    Guards against old unsaved work that is thrown away after a change of owner.
    Given a fleet of decisions with 1 workers of 4 accelerators
    And 4 patient tasks <saving> run under an earlier owner
    When an urgent task of one accelerator and 1 s waits
    Then <what> stopped

    Examples:
      | saving              | what                     |
      | without checkpoints | nothing is               |
      | with checkpoints    | one of the patient tasks is |

  Scenario: An urgent gang of a whole worker takes the place of a few old tasks
    Unsaved tasks of a patient job are spread over the racks, and none of them is young.
    Kept from stopping any of them, a gang that needs whole workers waits until they
    have ended, and its caller has left by then.
    Given a fleet of decisions with 1 workers of 4 accelerators
    And 2 patient tasks without checkpoints run since 6 s
    When an urgent gang of 1 tasks of 4 accelerators waits
    Then patient tasks are stopped that come to at most 2 times its own work

  Scenario: A gang waits for its rack as long as its runs were seen to take
    Callers' estimates are far too low. By them a rebuild of ten seconds would go to
    two racks after one second, and take thirty.
    Given a fleet of decisions with 2 racks of 3 workers of 8 accelerators
    And runs of 10 s whose callers said 1 s
    And 8 accelerators are taken on each worker but the first of each rack
    When a gang of 2 tasks of 8 accelerators that wants one rack has waited for 8 s
    Then it waits on

  Scenario: In a fleet that is mostly idle the gang goes to two racks instead
    Nobody else wants the room, so its caller gains by what is free now.
    Given a fleet of decisions with 2 racks of 3 workers of 8 accelerators
    And runs of 10 s whose callers said 1 s
    And 1 accelerators are taken on each worker but the first of each rack
    When a gang of 2 tasks of 8 accelerators that wants one rack has waited for 8 s
    Then it starts

  Scenario Outline: Callers get more than by first fit on drawn heavy days
    Bursts of urgent gangs meet renders or rebuilds and tables that fill the fleet.
    In the order of arrival a quote waits behind them, and its customer has left.
    When 2 drawn days of <workload> are played by our plan and by first fit
    Then callers get at least <all> of what was owed, <more> more than by first fit
    And each kind of job gets at least <least>

    Examples:
      | workload          | all  | more | least |
      | thistlegate-heavy | 0.7  | 0.3  | 0.6   |
      | domeworks-heavy   | 0.6  | 0.3  | 0.45  |
