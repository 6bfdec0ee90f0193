Feature: Placement keeps guarantees at the least cost

  Idle guaranteed accelerators are lent to other organisations. The choice of
  the victims, and of what starts next, decides whether the owner of a guarantee
  gets it in time and how much work the borrowers lose.

  Scenario: Reclaiming a guarantee stops the borrower that loses least
    Two patient jobs borrow the guaranteed accelerators of an organisation. One
    has run for an hour without checkpoints, the other has checkpoints and has
    run for ten seconds.
    Given a placement cell of 1 rack with 2 workers that guarantees 8 to "dome"
    When "guest" runs "old" on 8 accelerators since 0 without checkpoints
    When "guest" runs "fresh" on 8 accelerators since 3590 with checkpoints
    When "dome" asks for 8 accelerators at 3600
    Then the placement stops exactly "fresh"

  Scenario: A job that is still starting is not the first to be stopped
    The youngest job loses least work, but it is still starting, and a stop can
    only begin when the start has ended: in a busy cell, urgent work would wait
    for one start after the other.
    Given a placement cell of 1 rack with 2 workers that guarantees 8 to "dome"
    When "guest" runs "settled" on 8 accelerators since 3500 without checkpoints
    When "guest" runs "starting" on 8 accelerators since 3599 without checkpoints
    When "dome" asks for 8 accelerators at 3600
    Then the placement stops exactly "settled"

  Scenario: A non-preemptible job is never stopped
    A non-preemptible job borrows, and the owner of the guarantee asks for its
    shape. The only other job is a long render, which loses much work; stopping
    the non-preemptible one would run work twice.
    Given a placement cell of 1 rack with 2 workers that guarantees 8 to "dome"
    When "guest" runs the non-preemptible "captions" on 8 accelerators since 0
    When "guest" runs "render" on 8 accelerators since 0 without checkpoints
    When "dome" asks for 8 accelerators at 7200
    Then the placement stops exactly "render"

  Scenario: A non-preemptible job stays out of another organisation's allocation
    Only the allocation of a guarantee is free, and a non-preemptible job of
    another organisation asks for it. Once there it could not be moved.
    Given a placement cell of 1 rack with 2 workers that guarantees 8 to "dome"
    When "guest" runs the non-preemptible "captions" on 8 accelerators since 0
    When "guest" asks for 8 non-preemptible accelerators at 10
    Then the placement waits because of a guarantee

  Scenario: One lost worker does not block the guarantees of other organisations
    A worker is quarantined, and the largest guarantee of the cell has no
    allocation until it returns. Another organisation asks for its own, which is
    lent out. If it had to wait, one bad worker would block a whole rack.
    Given a placement cell of 1 rack with 3 workers that guarantees 16 to "dome"
    Given the placement cell also guarantees 8 to "till"
    When worker 0 of the placement cell is quarantined
    When "guest" runs "first" on 8 accelerators since 0 with checkpoints
    When "guest" runs "second" on 8 accelerators since 50 with checkpoints
    When "till" asks for 8 accelerators at 100
    Then the placement stops exactly "second"

  Scenario: A non-preemptible job does not block a guarantee whose worker is lost
    While a worker is quarantined, a guarantee has no allocation. If a
    non-preemptible job took the free accelerators, the guarantee could not be
    kept after the worker's return for as long as the job runs.
    Given a placement cell of 1 rack with 3 workers that guarantees 16 to "dome"
    When worker 0 of the placement cell is quarantined
    When "guest" runs the non-preemptible "captions" on 8 accelerators since 0
    When "guest" asks for 1 non-preemptible accelerators at 10
    Then the placement waits because of a guarantee

  Scenario: A victim that runs again elsewhere does not delay a reclaim
    A victim stops and starts again on another worker before the last victim has
    stopped. A placer that waits until the victims hold nothing, instead of until
    the accelerators are free, delays the guarantee for minutes.
    Given a placement cell of 1 rack with 3 workers that guarantees 16 to "dome"
    When "guest" runs "first" on 8 accelerators since 0 with checkpoints
    When "guest" runs "second" on 8 accelerators since 0 with checkpoints
    When "dome" reclaims 16 accelerators at 100 from two workers
    When the victim "first" stops and starts again on the third worker
    When the victim "second" stops
    Then the reclaimed place is free

  Scenario: Freed accelerators go to the job that they were freed for
    Stopping takes seconds. Without a record of the reclaim, a short job that asks
    in between would get the accelerators of a victim that has stopped already.
    Given a placement cell of 1 rack with 2 workers that guarantees 16 to "dome"
    When "guest" runs "first" on 8 accelerators since 0 with checkpoints
    When "guest" runs "second" on 8 accelerators since 0 with checkpoints
    When "dome" reclaims 16 accelerators at 100 from two workers
    When the victim "first" stops
    When "guest" asks for 1 accelerators at 101
    Then the placement waits

  Scenario: A job that is larger than the empty cell is refused, not queued
    Given a placement cell of 1 rack with 2 workers that guarantees 8 to "dome"
    When "guest" asks for 9 accelerators at 0
    Then the placement answers that it never fits

  Scenario: Learned run times replace declared ones
    A team declares ten times the run time, so that its short previews queue
    behind long renders.
    When a class declared at 1000 seconds has run 20 times for 100 seconds
    Then its learned run time is 100 seconds

  Scenario: Short work goes first until long work has waited past the limit
    A job that needs a whole rack could be overtaken for ever by short jobs.
    Given a placement cell of 1 rack with 2 workers that guarantees 8 to "dome"
    When a job of 16 accelerators has waited past the limit beside a short one
    Then the order of placement begins with the long one
    Then accelerators are reserved for it that other long work may not take

  Scenario: Defragmentation moves little work
    Two small jobs run on two workers. Both workers are partly free and neither
    is whole, so eight accelerators on one worker would have to be reclaimed.
    Given a placement cell of 1 rack with 2 workers that guarantees 8 to "dome"
    When "guest" runs "left" on 2 accelerators of worker 0 since 95
    When "guest" runs "right" on 2 accelerators of worker 1 since 99
    Then a placement move at 110 stops exactly one job
    Then no placement move is made when fragmentation has no weight

  Scenario: Losing a failure domain moves only the guarantees that were there
    When one failure domain of three is lost to the assignment of guarantees
    Then the guarantees of the other two stay where they were

  Scenario Outline: Callers under load <workload>
    Thousands of jobs arrive as the name says. Under such load urgent work or a
    guarantee could start late, a gang could run in part, or a job never end.
    When the workload "<workload>" runs at the size of "<deployment>"
    Then every guaranteed shape that is due starts within the urgent bound
    Then urgent placements start within the urgent bound in all but 1 of 100
    Then no gang ran in part and every guarantee was reclaimable at every step
    Then every job that was not cancelled ended

    Examples:
      | workload           | deployment  |
      | small_bursts       | thistlegate |
      | large_bursts       | domeworks   |
      | skewed_demand      | domeworks   |
      | long_and_short     | thistlegate |
      | wrong_times        | domeworks   |
      | cancellation_waves | thistlegate |
      | failing_workers    | thistlegate |
      | saturation         | thistlegate |
