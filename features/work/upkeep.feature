Feature: Operators ask for the upkeep of workers' VMs

  Scenario: A wave goes through a fleet at work
    A wave begun on VMs in any order, or on more at once than was allowed, throws
    renders away and leaves callers without workers.
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And a VM under each worker
    And 2 processes of ours
    And the tasks of m1 take 3 s
    When job m1 is handed in with steps
      | count | accelerators |
      | 160   | 4            |
    And operators ask for the upkeep of all VMs within 60 s, 2 at once
    And 70 s pass
    Then the wave is said to be completed, and was
    And at most 2 VMs were away at once
    And every task of m1 was started once
    And the fleet's ledger shows nothing wrong

  Scenario: The owner is lost in the middle of a wave
    The next owner must know which VMs are away; otherwise it takes two more, or says
    that the wave is completed while a VM has not begun.
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And a VM under each worker
    And 2 processes of ours
    When operators ask for the upkeep of all VMs within 60 s, 1 at once
    And the owner is lost right after its second order
    And 50 s pass
    Then the wave is said to be completed, and was
    And at most 1 VMs were away at once
    And no VM had orders of two owners within 3 s

  Scenario: The answer to an order is lost
    The upkeep has begun, and the scheduler does not know.
    Given a fleet of 3 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    And the answers to the next 2 upkeep orders are lost
    When operators ask for the upkeep of all VMs within 60 s, 1 at once
    And 50 s pass
    Then the wave is said to be completed, and was
    And at most 1 VMs were away at once

  Scenario: A service bears one task away
    Three tasks of a service run on three VMs, and its users bear that one is away.
    Two at once would leave them one third.
    Given a fleet of 3 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    When a service of 3 tasks of 8 accelerators of which 1 may be away runs
    And operators ask for the upkeep of all VMs within 60 s, 3 at once
    And 50 s pass
    Then at most 1 VMs were away at once
    And the wave is said to be completed, and was

  Scenario: The record of another wave can't be read
    What stands for one wave was overwritten by something else. Which of its VMs were
    ordered can't be known, so it is left alone; the other wave goes on, as does
    everything else that its owner does.
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And a VM under each worker
    And 2 processes of ours
    And the record of wave 6 can't be read
    When operators ask for wave 6 of the same VMs
    And operators ask for the upkeep of all VMs within 60 s, 2 at once
    And 40 s pass
    Then the wave is said to be completed, and was
    And no VM was ordered for wave 6
    And the owner's term went on
