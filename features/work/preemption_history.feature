Feature: Stops take account of what callers lose and of earlier stops
  On workers that take 0.9 s for a stop, a gang that was stopped has to wait for a dozen
  free workers again. If stops were chosen by the seconds of lost work alone, the same
  gang would be stopped every few seconds and its caller would get nothing.

  Background: Workers that take long for a stop
    Given 2 workers of 4 accelerators that take 0.9 s for a stop

  Scenario: A gang that was stopped is not stopped again at once
    Guards against stopping the same gang each time that urgent work arrives.
    Given a normal gang on both workers that was stopped once and runs again for 1 s
    When an urgent task waits
    Then nothing is stopped

  Scenario: Guaranteed work gets its room at once, from a gang that was just stopped too
    Guards against a guarantee that waits for work that is spared.
    Given a normal gang on both workers that was stopped three times and runs again for 1 s
    When a guaranteed urgent task waits
    Then the gang is stopped

  Scenario: A gang is not spared beyond its expected run time
    Guards against work that holds its workers for good because it was stopped once.
    Given a normal gang on both workers that was stopped once and runs again for 3.2 s
    When an urgent task has waited for 2 s
    Then the gang is stopped

  Scenario: A gang is not spared when its caller has no use for it any more
    Guards against sparing work that comes too late, at the expense of urgent callers.
    Given a normal gang on both workers that was stopped once and runs again for 1 s
    And its caller has waited for 31 s, three times as long as it can
    When an urgent task waits
    Then the gang is stopped

  Scenario: A gang that would lose its caller stays while patient work runs beside it
    Guards against choosing a gang with checkpoints, whose stop wastes the fewest
    core-seconds, although its result would be too late after that.
    Given a normal gang with checkpoints on worker 0 that can just be in time
    And patient tasks without checkpoints on worker 1 that have just started
    When a guaranteed urgent task waits
    Then a patient task is stopped

  Scenario Outline: Work is stopped a second time only if the first room is lost
    Guards against a second round of stops for a gang, and against a gang that waits for
    room that it can't get any more.
    Given patient tasks with checkpoints on both workers
    And work was stopped on worker 0 for an urgent gang
    When <event> 0.2 s later
    Then <outcome>

    Examples:
      | event                            | outcome                                   |
      | patient work runs on worker 0    | no work is stopped for the gang           |
      | guaranteed work runs on worker 0 | work is stopped for the gang on worker 1  |
      | worker 0 has left                | work is stopped for the gang on worker 1  |

  Scenario: Callers under alternating urgent and normal work over patient work
    Guards against gangs that are started again and again, and against sparing them at
    the expense of callers.
    When 8 drawn days of such work are played with the history and without it
    Then at most half as many units are started four times or more with the history
    And callers get no less than 0.02 below what they get without it
    And guaranteed work starts within 2.7 s with it

  Scenario: By itself the history changes nothing
    Guards against rules that take effect though the settings don't ask for them.
    Given 2 workers of 4 accelerators that take 0.9 s for a stop, and no switch set
    And a normal gang on both workers that was stopped once and runs again for 1 s
    When an urgent task waits
    Then the gang is stopped
