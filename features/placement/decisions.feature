Feature: Placement gives people what they were promised, at the least cost

  Southern Cross lends its idle accelerators overnight. When a producer wants
  them back before a session, the choice of whose work stops, and of what starts
  next, decides whether anybody notices.

  Scenario: A guarantee that is lent out comes back from who loses least
    Two patient jobs borrow the room of a producer. One has run for an hour
    without saving, the other has just saved its progress.
    Given a placement cell of 1 rack with 2 workers that promises 8 to "dome"
    When "guest" runs "old" on 8 accelerators since 0 without checkpoints
    When "guest" runs "fresh" on 8 accelerators since 3590 with checkpoints
    When "dome" asks for 8 accelerators at 3600
    Then the placement stops exactly "fresh"

  Scenario: A job that is still starting is not the first to be stopped
    The youngest job has lost least work. But it is still being started, and a
    start has to end before a stop can begin: in a busy cell, an operator's
    preview would wait behind one start after the other.
    Given a placement cell of 1 rack with 2 workers that promises 8 to "dome"
    When "guest" runs "settled" on 8 accelerators since 3500 without checkpoints
    When "guest" runs "starting" on 8 accelerators since 3599 without checkpoints
    When "dome" asks for 8 accelerators at 3600
    Then the placement stops exactly "settled"

  Scenario: Work that must not run twice is never stopped
    A caption pass borrows, a producer asks for its shape, and the only other
    work is a long render. Stopping the caption pass would bill a client twice.
    Given a placement cell of 1 rack with 2 workers that promises 8 to "dome"
    When "guest" runs the unstoppable "captions" on 8 accelerators since 0
    When "guest" runs "render" on 8 accelerators since 0 without checkpoints
    When "dome" asks for 8 accelerators at 7200
    Then the placement stops exactly "render"

  Scenario: Work that must not run twice stays out of a promised room
    The room of a producer is idle. A surcharge run that nothing may stop asks
    for it an hour before the session. Once there it could not be moved.
    Given a placement cell of 1 rack with 2 workers that promises 8 to "dome"
    When "guest" runs the unstoppable "captions" on 8 accelerators since 0
    When "guest" asks for 8 unstoppable accelerators at 10
    Then the placement waits because of a guarantee

  Scenario: One lost worker does not void the guarantees of everybody else
    A worker is quarantined, and the largest guarantee of the cell has no room
    until it returns. Another organisation's clerks ask for theirs, which is lent
    out. Were they told to wait, one bad worker would stop a whole rack.
    Given a placement cell of 1 rack with 3 workers that promises 16 to "dome"
    Given the placement cell also promises 8 to "till"
    When worker 0 of the placement cell is quarantined
    When "guest" runs "first" on 8 accelerators since 0 with checkpoints
    When "guest" runs "second" on 8 accelerators since 50 with checkpoints
    When "till" asks for 8 accelerators at 100
    Then the placement stops exactly "second"

  Scenario: Work that must not run twice takes no room of a promise that is away
    While a worker is quarantined, a promise has no room. A surcharge run that
    nothing may stop takes what is free now; when the worker returns, the
    promise could not be kept for as long as the run lasts.
    Given a placement cell of 1 rack with 3 workers that promises 16 to "dome"
    When worker 0 of the placement cell is quarantined
    When "guest" runs the unstoppable "captions" on 8 accelerators since 0
    When "guest" asks for 1 unstoppable accelerators at 10
    Then the placement waits because of a guarantee

  Scenario: A victim that runs again elsewhere does not hold a reclaim up
    A render stops for a producer and starts again on another worker before the
    last victim has stopped. A placer that waits for the victims to be gone, not
    for the accelerators, leaves the producer without its room for minutes.
    Given a placement cell of 1 rack with 3 workers that promises 16 to "dome"
    When "guest" runs "first" on 8 accelerators since 0 with checkpoints
    When "guest" runs "second" on 8 accelerators since 0 with checkpoints
    When "dome" takes 16 accelerators back at 100 from two workers
    When the victim "first" stops and starts again on the third worker
    When the victim "second" stops
    Then the place that was taken back is open

  Scenario: Freed accelerators go to the job that they were freed for
    Stopping takes seconds. A short job that asks in between would take the
    accelerators of a victim that has stopped already.
    Given a placement cell of 1 rack with 2 workers that promises 16 to "dome"
    When "guest" runs "first" on 8 accelerators since 0 with checkpoints
    When "guest" runs "second" on 8 accelerators since 0 with checkpoints
    When "dome" takes 16 accelerators back at 100 from two workers
    When the victim "first" stops
    When "guest" asks for 1 accelerators at 101
    Then the placement waits

  Scenario: A job that is larger than the empty cell is refused, not queued
    Given a placement cell of 1 rack with 2 workers that promises 8 to "dome"
    When "guest" asks for 9 accelerators at 0
    Then the placement says that it never fits

  Scenario: Declared run times give way to experience
    A team declares ten times the length, so that its short previews queue
    behind long renders.
    When a class declared at 1000 seconds has run 20 times for 100 seconds
    Then its learned run time is 100 seconds

  Scenario: Short work goes first until long work has waited past the limit
    A render that needs a whole rack could be overtaken for ever by short work.
    Given a placement cell of 1 rack with 2 workers that promises 8 to "dome"
    When a job of 16 accelerators has waited past the limit beside a short one
    Then the order of placement begins with the long one
    Then accelerators are reserved for it that other long work may not take

  Scenario: Scattered free accelerators are joined by moving little work
    Two small jobs sit on two workers. Each worker has room, neither is whole,
    so a producer's eight adjacent accelerators would have to be reclaimed.
    Given a placement cell of 1 rack with 2 workers that promises 8 to "dome"
    When "guest" runs "left" on 2 accelerators of worker 0 since 95
    When "guest" runs "right" on 2 accelerators of worker 1 since 99
    Then a placement move at 110 stops exactly one job
    Then no placement move is made when fragmentation has no weight

  Scenario: Losing a failure domain moves only the guarantees that were there
    When one failure domain of three is lost to the assignment of guarantees
    Then the guarantees of the other two stay where they were

  Scenario Outline: Callers under load <workload>
    Thousands of jobs arrive as the name says. A dome operator sees a preview
    late, or a producer misses the promised accelerators, or a gang runs in part.
    When the workload "<workload>" is played at the size of "<deployment>"
    Then every guaranteed shape that is owed starts within the urgent bound
    Then urgent placements start within the urgent bound in all but 1 of 100
    Then no gang ran in part and no promise was out of reach at any step
    Then every job that was not cancelled came to an end

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
