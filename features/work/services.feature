Feature: Services that last, batch work that fills in, and workers that need a ticket

  Scenario: Batch work beside a service makes way at once
    Batch work uses what a service leaves idle on its worker. The service's own
    users arrive faster, and each of them waits twice as long as promised while the
    batch work goes on.
    Given a fleet of 1 workers with 8 accelerators in 1 racks
    And 2 processes of ours
    When a service with a target of 100 ms and batch work that fills beside it run
    And 6 s pass
    Then the service is never over its target for 4 s
    And the batch work still works at times

  Scenario: The next owner does not know how fast batch work was let go
    The owner had told it to stand still, and its machine is lost. Left alone, the
    batch work would stand still for ever, or go on at a speed that nobody chose.
    Given a fleet of 1 workers with 8 accelerators in 1 racks
    And 2 processes of ours
    When a service with a target of 100 ms and batch work that fills beside it run
    And 6 s pass
    And the scheduling process dies
    And 12 s pass
    Then the service is never over its target for 4 s
    And the speed of the batch work is chosen anew

  Scenario: A service comes back however often it fails on a worker
    A service may fail at any time. Were each worker left out on which it failed, it
    would have none left after the second failure, and stay away for good.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And 1 processes of ours
    When a service that fails every 3 s runs
    And 30 s pass
    Then the service was started at least 8 times
    And it is there

  Scenario: A service that fails in a full fleet takes the place of batch work
    Every accelerator is taken again within milliseconds of a service's failure, and
    its users find nothing there until a table of a minute has ended.
    Given a fleet of 1 workers with 8 accelerators in 1 racks
    And 1 processes of ours
    When a service of 8 accelerators that fails every 3 s runs beside tables of 60 s
    And 20 s pass
    Then the service was started at least 4 times

  Scenario: A step starts only where the advice service allows it
    Without the service's ticket a worker refuses the start. A scheduler that does
    not ask is refused for ever, and the caller's job never begins.
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
    Tickets are good for a few seconds. Work that waited for room longer than that is
    refused by the worker unless a new one is asked for.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And queues whose workers only the advice service knows, w1 and w2
    And 1 processes of ours
    And the tasks of b1 take 4 s
    When job b1 is handed in with steps
      | count | accelerators |
      | 6     | 8            |
    Then job b1 is shown as completed within 20 s
    And no start was refused for its ticket
