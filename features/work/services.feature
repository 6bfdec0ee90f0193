Feature: Services that last, batch work that fills in, and workers that need a ticket

  Scenario: Batch work beside a service makes way at once
    Best-effort batch work uses what a service leaves idle on its worker. When the
    service's load rises, each of its users waits twice as long as the latency target
    while the batch work goes on.
    Given a fleet of 1 workers with 8 accelerators in 1 racks
    And 2 processes of ours
    When a service with a target of 100 ms and best-effort batch work beside it run
    And 6 s pass
    Then the service is never over its target for 4 s
    And the batch work still works at times

  Scenario: The next owner does not know how fast batch work was let go
    The owner had paused the batch work, and its machine is lost. If no owner set a
    speed, the batch work would stay paused for ever, or go on at a speed that nobody
    chose.
    Given a fleet of 1 workers with 8 accelerators in 1 racks
    And 2 processes of ours
    When a service with a target of 100 ms and best-effort batch work beside it run
    And 6 s pass
    And the scheduling process dies
    And 12 s pass
    Then the service is never over its target for 4 s
    And the speed of the batch work is chosen anew

  Scenario: A service comes back however often it fails on a worker
    A service may fail at any time. If each worker on which it failed were excluded,
    none would be left after the second failure, and the service would stay away for
    good.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And 1 processes of ours
    When a service that fails every 3 s runs
    And 30 s pass
    Then the service was started at least 8 times
    And it is there

  Scenario: A service that fails in a full fleet takes the place of batch work
    Every accelerator is taken again within milliseconds of a service's failure, and its
    users find nothing there until a table of a minute has ended.
    Given a fleet of 1 workers with 8 accelerators in 1 racks
    And 1 processes of ours
    When a service of 8 accelerators that fails every 3 s runs beside tables of 60 s
    And 20 s pass
    Then the service was started at least 4 times

  Scenario: A step starts only where the advice service allows it
    Without the advice service's ticket a worker refuses the start. A scheduler that
    does not ask is refused for ever, and the caller's job never begins.
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And queues whose workers only the advice service knows, w2 and w3
    And 2 processes of ours
    When job a1 is handed in with steps
      | count | accelerators | gang |
      | 2     | 8            | yes  |
    Then job a1 is shown as completed within 8 s
    And it was started on w2 and w3 only
    And no start was refused for its ticket

  Scenario: The advice service is away for a while
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And queues whose workers only the advice service knows, w2 and w3
    And 2 processes of ours
    And the advice service is away
    When job a2 is handed in with steps
      | count | accelerators |
      | 1     | 8            |
    And 5 s pass
    And the advice service is back
    Then job a2 is shown as completed within 8 s
    And it was started on w2 and w3 only

  Scenario: A ticket runs out before the second step begins
    Tickets are valid for a few seconds. A worker refuses the start of work that waited
    longer than that, unless a new ticket is requested.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And queues whose workers only the advice service knows, w1 and w2
    And 1 processes of ours
    And the tasks of b1 take 4 s
    When job b1 is handed in with steps
      | count | accelerators |
      | 6     | 8            |
    Then job b1 is shown as completed within 20 s
    And no start was refused for its ticket

  Scenario Outline: A job waits in a queue that is removed
    Guards against a job that waits for tickets that nobody asks for, or is started
    without one, since parts of the scheduler go by different versions.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And queues whose workers only the advice service knows, w1 and w2
    And 2 processes of ours
    And the tasks of b2 take 8 s
    When job b2 is handed in with steps
      | count | accelerators |
      | 2     | 8            |
    And b2 runs on the fleet
    And job a1 is handed in to patient by domes with steps
      | count | accelerators |
      | 1     | 8            |
    And operators remove all queues but the usual one, which is <advised>
    And <event>
    And 20 s pass
    Then every task of a1 was started once
    And no start was refused for its ticket

    Examples:
      | advised     | event                       |
      | advised     | 0 s pass                    |
      | advised     | the scheduling process dies |
      | not advised | 0 s pass                    |
      | not advised | the scheduling process dies |
