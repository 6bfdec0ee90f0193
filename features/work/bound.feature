Feature: What no scheduler could pass on a drawn day
  A share of what callers are owed says little beside nothing: part of it nobody could
  have given them. Beside a bound that a schedule passes, every comparison is false.

  Scenario: Neither our plan nor first fit passes the bound on drawn days
    Small fleets with all kinds of faults, asked for several times what they hold.
    When 200 days of small fleets are drawn and played by our plan and by first fit
    Then no figure of any of them passes its bound
    And the bound is below what is owed on some of them, and reached on some

  Scenario: Of three tasks that come at once for one worker two can be in time
    Given a drawn fleet of 1 workers
    And 3 jobs at once of a whole worker each, 2 s long and in time after 4.5 s
    Then no more than 2.4 of them can be in time by the bound, and no fewer than 2

  Scenario: Gangs of more than half of a rack take turns in it
    By their accelerators two gangs would fit within the time in which both are late.
    Given a drawn fleet of 1 racks of 3 workers
    And 4 jobs at once of 2 whole workers of a rack each, 2 s long and in time after 4.5 s
    Then no more than 2.4 of them can be in time by the bound, and no fewer than 2

  Scenario: What comes while no owner decides can't begin before
    Given a drawn fleet of 1 workers
    And no owner decides anything from 0 to 5 s
    And 1 jobs at once of a whole worker each, 2 s long and in time after 4.5 s
    Then no more than 0 of them can be in time by the bound, and no fewer than 0

  Scenario: Who can't be served before they leave is left out of the servable
    Given a drawn fleet of 1 workers
    And no owner decides anything from 0 to 13 s
    And 1 jobs at once of a whole worker each, 2 s long and in time after 4.5 s
    Then the caller is not servable
