Feature: Gangs on workers of similar speed

  Background:
    Given a fleet state with 2 racks of 4 workers of 8 accelerators
    And speed groups are used
    And workers 6 and 7 are known to take 2.2 times as long as the others

  Scenario Outline: A gang is not spread over fast and slow workers
    Guards against a gang of which one member is on a slow worker, so that it holds the
    others for twice the time. The slow workers have the least room, so by best fit
    alone they would be taken first.
    Given 1 accelerators are taken on workers 6 and 7
    When a gang of priority <priority> with 4 tasks of 7 accelerators waits
    Then it starts on fast workers

    Examples:
      | priority |
      | 0        |
      | 1        |

  Scenario Outline: Usual work goes to the group in which it ends first
    Guards against slow workers that are idle while a gang waits for fast ones, and
    against a gang on slow workers that would have ended sooner by waiting.
    Given all accelerators of the fast workers are taken for <seconds> s more
    When a gang of priority 1 with 2 tasks of 8 accelerators waits
    Then it <starts>

    Examples:
      | seconds | starts                 |
      | 20      | starts on slow workers |
      | 1       | waits                  |

  Scenario: Guaranteed urgent work does not wait for fast workers
    Guards against a guarantee that is missed because a slow worker is thought too slow.
    Given all accelerators of the fast workers are taken for 1 s more
    And urgent work of up to 64 accelerators is guaranteed
    When a gang of priority 0 with 2 tasks of 8 accelerators waits
    Then it starts on slow workers

  Scenario: Patient single tasks fill the slow workers first
    Guards against single tasks that take the fast workers from gangs, while they
    themselves have slack for the slow ones.
    When 12 single tasks of priority 2 with 1 accelerators wait
    Then they start on slow workers

  Scenario: A task that failed on the slow workers goes to a fast one
    Guards against a task that uses up its attempts where it failed before, since no
    other worker is of the same group.
    When a single task of priority 2 that failed on all slow workers waits
    Then it starts on fast workers

  Scenario: Work is stopped for an urgent gang on the fast workers
    Guards against stopping work on slow workers, where the gang would be late all the
    same. That on the slow ones has just begun, so by cost alone it would be stopped.
    Given patient tasks have run for 2.9 s on the fast and for 2.5 s on the slow workers
    When a gang of priority 0 with 2 tasks of 8 accelerators waits
    Then work is stopped on fast workers only

  Scenario: Slow workers are found from the progress of one gang
    Guards against minutes of gangs at half speed until a slow worker is known.
    Given no worker's speed is known
    When a gang over all workers has run for 5 s, with worker 3 at half speed
    Then worker 3 is slow, and that is reported once

  Scenario: Gangs of slow workers alone do not make these count as usual
    Guards against forgetting slow workers once gangs are put together by speed, since
    their members are then all equally fast.
    When 10 gangs over the slow workers and 2 unknown ones end, all alike
    Then workers 6 and 7 are still slow

  Scenario: Tasks outside the rack of their data do not make a worker slow
    Guards against a usual worker that counts as slow, since tasks whose data is in
    another rack take three times as long on it.
    When 10 tasks with data in another rack have taken 3 times as long on worker 0
    Then worker 0 is fast

  Scenario: A factor between the two bounds does not change a worker's group
    Guards against a worker that moves to and fro, with a log line for each time.
    When worker 6 is learned to take 1.4 times as long as the others
    Then workers 6 and 7 are still slow
    And worker 5 with the same factor is fast

  Scenario: Run times on slow workers do not change what is expected elsewhere
    Guards against a mean of both speeds, by which room is expected too late on fast
    workers and too early on slow ones.
    Given runs of 5 s on fast workers and of 11 s on slow ones were learned
    Then 5 s are expected on worker 0 and 11 s on worker 6

  Scenario: Nothing changes where speed groups are off
    Guards against effects on deployments for which this was not made.
    Given speed groups are not used
    And 1 accelerators are taken on workers 6 and 7
    When a gang of priority 1 with 4 tasks of 7 accelerators waits
    Then it starts on workers 6 and 7 among others
    And a running gang has changed no factor

  Scenario: Callers get more on drawn days with a quarter of the workers slow
    Guards against groups that cost callers more by waiting than they gain by speed.
    When 2 drawn days with a quarter of the workers slow are played both ways
    Then callers get at least 0.04 more of the total worth with speed groups
    And all slow workers were found, and no other
