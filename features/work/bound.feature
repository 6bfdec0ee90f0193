Feature: Upper bounds for any scheduler on a drawn day
  A scheduler's share of the total worth says little by itself, as part of that worth is
  beyond any scheduler. If a schedule exceeds the bound, every comparison is wrong.

  Scenario: Neither our plan nor first fit exceeds the bound on drawn days
    Small fleets with all kinds of faults, under several times the load that they hold.
    When 200 days of small fleets are drawn and played by our plan and by first fit
    Then no figure of any of them exceeds its bound
    And the bound is below the total worth on some of them, and reached on some

  Scenario: Two of three tasks that arrive at once for one worker can be in time
    Given a drawn fleet of 1 workers
    And 3 jobs at once of a whole worker each, 2 s long and in time after 4.5 s
    Then no more than 2.4 of them can be in time by the bound, and no fewer than 2

  Scenario: Gangs of more than half of a rack run one after another
    By accelerator-seconds alone, more gangs would fit than can be in time.
    Given a drawn fleet of 1 racks of 3 workers
    And 4 jobs at once of 2 whole workers of a rack each, 2 s long and in time after 4.5 s
    Then no more than 2.4 of them can be in time by the bound, and no fewer than 2

  Scenario: Jobs that arrive while there is no owner start only after that
    Given a drawn fleet of 1 workers
    And no owner decides anything from 0 to 5 s
    And 1 jobs at once of a whole worker each, 2 s long and in time after 4.5 s
    Then no more than 0 of them can be in time by the bound, and no fewer than 0

  Scenario: A caller who leaves before it can be served is not servable
    Given a drawn fleet of 1 workers
    And no owner decides anything from 0 to 13 s
    And 1 jobs at once of a whole worker each, 2 s long and in time after 4.5 s
    Then the caller is not servable
