Feature: Operators ask for the upkeep of workers' VMs

  Scenario: A wave goes through a fleet at work
    A wave that starts on VMs in any order, or on more at once than allowed, throws
    renders away and leaves callers without workers.
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And a VM under each worker
    And 2 processes of ours
    And the tasks of m1 take 3 s
    When job m1 is handed in with steps
      | count | accelerators |
      | 160   | 4            |
    And operators ask for maintenance of all VMs within 60 s, 2 at once
    And 70 s pass
    Then the wave is reported as completed, and was
    And at most 2 VMs were away at once
    And every task of m1 was started once
    And the fleet's ledger shows nothing wrong

  Scenario: The owner is lost in the middle of a wave
    The next owner must know which VMs are away; otherwise it takes two more, or reports
    the wave as completed while a VM has not begun.
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And a VM under each worker
    And 2 processes of ours
    When operators ask for maintenance of all VMs within 60 s, 1 at once
    And the owner is lost right after its second order
    And 50 s pass
    Then the wave is reported as completed, and was
    And at most 1 VMs were away at once
    And no VM had orders of two owners within 3 s

  Scenario: The answer to an order is lost
    The maintenance has begun, and the scheduler does not know.
    Given a fleet of 3 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    And the answers to the next 2 maintenance orders are lost
    When operators ask for maintenance of all VMs within 60 s, 1 at once
    And 50 s pass
    Then the wave is reported as completed, and was
    And at most 1 VMs were away at once

  Scenario: An order of the former owner whose answer was lost is refused to the next one
    The owner dies after its order was carried out and the answer lost. The next owner
    repeats the order when the VM is back, and is refused at first. If the refusal
    counted as final, the order would later be sent as a first one, and what runs on the
    VM by then would be started a second time beside itself.
    Given a fleet of 3 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 2 processes of ours
    And the answers to the next 1 maintenance orders are lost
    And maintenance orders for vm-w1 are refused for 7 s once it is back
    And the tasks of u1 take 30 s
    When operators ask for maintenance of vm-w1 within 25 s
    And the owner is lost right after its first order
    And 5 s pass
    And job u1 is handed in with steps
      | count | accelerators |
      | 3     | 8            |
    And u1 runs on the fleet
    And worker w4 is added to the list
    And 20 s pass
    Then the fleet's ledger shows nothing wrong
    And every task of u1 was started once
    And wave 8 is reported as completed

  Scenario: A repeated order is refused because the VM is away
    An order was carried out and its answer lost, and the list still shows the VM as up.
    The order is repeated and refused, since the VM is away. If that counted as "not
    ordered", another VM would be taken away beside it, and more VMs would be away than
    operators allowed.
    Given a fleet of 3 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    And maintenance orders are refused for a VM that is away
    And maintenance takes 4 s
    And the list of VMs is 2.5 s old
    And the answers to the next 1 maintenance orders are lost
    When operators ask for maintenance of all VMs within 60 s, 1 at once
    And 60 s pass
    Then the wave is reported as completed, and was
    And at most 1 VMs were away at once

  Scenario: A service bears one task away
    Three tasks of a service run on three VMs, and it tolerates one of them away. Two at
    once would leave its users one third.
    Given a fleet of 3 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    When a service of 3 tasks of 8 accelerators of which 1 may be away runs
    And operators ask for maintenance of all VMs within 60 s, 3 at once
    And 50 s pass
    Then at most 1 VMs were away at once
    And the wave is reported as completed, and was

  Scenario: The record of another wave can't be read
    The record of one wave was overwritten with something else. It is unknown which of
    its VMs were ordered, so that wave gets no orders; the other wave and everything
    else that its owner does goes on.
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And a VM under each worker
    And 2 processes of ours
    And the record of wave 6 can't be read
    When operators ask for wave 6 of the same VMs
    And operators ask for maintenance of all VMs within 60 s, 2 at once
    And 40 s pass
    Then the wave is reported as completed, and was
    And no VM was ordered for wave 6
    And the owner's term went on

  Scenario: A VM is named by two waves, one after the other
    Its maintenance in the first wave is over. If that counted for the second wave too,
    operators would be told of a maintenance that their VM has not had.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    And maintenance orders of wave 9 are lost on their way for 3 s
    When operators ask for maintenance of vm-w1 within 25 s
    And 15 s pass
    And operators ask for maintenance of vm-w1 within 25 s
    And 25 s pass
    Then wave 8 is reported as completed, and was
    And wave 9 is reported as completed, and was

  Scenario: A worker is replaced just before its VM is ordered
    A worker dies and is back as another incarnation; the list, which is a second old,
    shows it only after the order was answered. If it counted as the incarnation that
    follows the maintenance, the VM would count as back, and another one would be taken
    away beside it.
    Given a fleet of 3 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    And the list of VMs is 0.9 s old
    And the worker on vm-w1 is replaced just before its maintenance is ordered
    When operators ask for maintenance of all VMs within 60 s, 1 at once
    And 50 s pass
    Then the wave is reported as completed, and was
    And at most 1 VMs were away at once

  Scenario: A VM is left out of the list for a moment before its upkeep
    If it counted as removed, the VM would be skipped, and operators would be told that
    the wave is completed while their VM has not begun.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    And vm-w2 is left out of the list for 4 s
    When operators ask for maintenance of all VMs within 60 s, 1 at once
    And 50 s pass
    Then the wave is reported as completed, and was
    And at most 1 VMs were away at once

  Scenario: A VM is left out of the list during its upkeep
    If it counted as removed, the VM would no longer count as away, and another one
    would be taken away beside it.
    Given a fleet of 3 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    And VMs that are away are left out of the list
    When operators ask for maintenance of all VMs within 60 s, 1 at once
    And 50 s pass
    Then the wave is reported as completed, and was
    And at most 1 VMs were away at once

  Scenario: A VM is removed for good before its upkeep
    The wave must not wait for it.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    And vm-w2 is left out of the list for 1000 s
    When operators ask for maintenance of all VMs within 60 s, 1 at once
    And 20 s pass
    Then wave 7 is reported as completed

  Scenario: A refused order is removed, the answer to that is lost, and it is sent again
    An order is refused, and the store's answer to removing its record is lost. The
    order is sent again and carried out, and the owner dies. If the next owner found no
    order in the record, it would take its own for the first one, and what runs on the
    VM by then would be started a second time beside itself.
    Given a fleet of 3 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 2 processes of ours
    And the next maintenance order is refused, and the answer to removing its record is lost
    And the answers to the next 1 maintenance orders are lost
    And the tasks of u2 take 30 s
    When operators ask for maintenance of vm-w1 within 25 s
    And the owner is lost right after its first order
    And 3 s pass
    And job u2 is handed in with steps
      | count | accelerators |
      | 3     | 8            |
    And u2 runs on the fleet
    And worker w4 is added to the list
    And 20 s pass
    Then the fleet's ledger shows nothing wrong
    And every task of u2 was started once
    And wave 8 is reported as completed, and was

  Scenario: Operators add a VM to a wave that is completed
    The wave was completed without this VM. If it were ignored from then on, operators
    would still be told that it is completed, and the VM would never have its
    maintenance.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    When operators ask for maintenance of vm-w1 within 25 s
    And 15 s pass
    And operators add vm-w2 to wave 8
    And 3 s pass
    Then wave 8 is reported as running
    When 15 s pass
    Then wave 8 is reported as completed, and was
    And vm-w2 has had its maintenance in wave 8

  Scenario: The owner changes before a wave's first order
    The owner waits for work that can't be checkpointed for as long as the deadline
    allows. It is lost meanwhile; if the next owner counted the deadline from when it
    first saw the wave, it would wait past the deadline, and the wave would be late.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 2 processes of ours
    And the tasks of u4 take 60 s
    When job u4 is handed in with steps
      | count | accelerators |
      | 2     | 8            |
    And u4 runs on the fleet
    And operators ask for maintenance of vm-w1 within 25 s
    And 9 s pass
    And the scheduling process dies
    And 16 s pass
    Then wave 8 is reported as completed, and was

  Scenario: The next owner's time of day is behind during a wave
    The owner is lost while it waits for work that can't be checkpointed. The next
    owner's VM has a time of day five minutes behind, so the wave seems to have all its
    time left and is never done in time. The time left was the difference of two times
    of day, the first of them the former owner's; the log had `upkeep_ordered` missing
    long after `wave_taken`.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 2 processes of ours
    And the tasks of u5 take 60 s
    When job u5 is handed in with steps
      | count | accelerators |
      | 2     | 8            |
    And u5 runs on the fleet
    And operators ask for maintenance of vm-w1 within 25 s
    And 9 s pass
    And the scheduling process dies
    And the time of day of the others is -300 s ahead
    And 16 s pass
    Then wave 8 is reported as completed, and was

  Scenario: The next owner's time of day is ahead during a wave
    The next owner's VM has a time of day five minutes ahead, so the deadline of the
    wave seems to be past, and work that would have ended in time is thrown away.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 2 processes of ours
    And the tasks of u6 take 20 s
    When job u6 is handed in with steps
      | count | accelerators |
      | 2     | 8            |
    And u6 runs on the fleet
    And operators ask for maintenance of vm-w1 within 35 s
    And 6 s pass
    And the scheduling process dies
    And the time of day of the others is 300 s ahead
    And 29 s pass
    Then every task of u6 was started once
    And wave 8 is reported as completed, and was

  Scenario: The list of VMs is empty for a while
    If it counted as the list of a platform without VMs, operators would be told that
    their wave is completed while none of its VMs has begun.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    And the list of VMs is empty for 8 s
    When operators ask for maintenance of all VMs within 60 s, 1 at once
    And 50 s pass
    Then the wave is reported as completed, and was
    And at most 1 VMs were away at once

  Scenario: The list of VMs becomes empty in the middle of a wave
    If a VM that was ordered just before counted as removed, it would no longer count as
    away.
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And a VM under each worker
    And 2 processes of ours
    And maintenance takes 4 s
    When operators ask for maintenance of all VMs within 90 s, 1 at once
    And 2 s pass
    And the list of VMs is empty for 20 s
    And 80 s pass
    Then the wave is reported as completed, and was
    And at most 1 VMs were away at once

  Scenario: A VM is left out of the list for longer than an upkeep takes
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    And vm-w2 is left out of the list for 8 s
    When operators ask for maintenance of all VMs within 60 s, 1 at once
    And 50 s pass
    Then the wave is reported as completed, and was
    And at most 1 VMs were away at once

  Scenario: The platform knows a VM of the wave no more
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    And vm-w2 is removed for good
    When operators ask for maintenance of all VMs within 60 s, 1 at once
    And 20 s pass
    Then wave 7 is reported as completed

  Scenario: The orders of one wave are never answered readably
    Each order is refused in a form that can't be decoded. It may have been carried out,
    so it is repeated; meanwhile later waves must not wait, and the owner must not end
    because of it.
    Given a fleet of 3 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 2 processes of ours
    And maintenance orders of wave 8 are lost on their way for 1000 s
    When operators ask for maintenance of vm-w1 within 25 s
    And operators ask for maintenance of vm-w2 within 25 s
    And 20 s pass
    Then wave 9 is reported as completed, and was
    And wave 8 is not reported as completed

  Scenario Outline: A repeated order meets a service that has a task away
    The order of one wave was lost. The next wave's order was sent meanwhile, as the
    service tolerates one task away. If the first order were repeated without checking
    the service again, it would take a second task away.
    Given a fleet of 3 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    And maintenance orders of wave 8 are lost on their way for <seconds> s
    When a service of 3 tasks of 8 accelerators of which 1 may be away runs
    And operators ask for maintenance of vm-w1 within 60 s
    And operators ask for maintenance of vm-w2 within 60 s
    And 40 s pass
    Then at most 1 VMs were away at once
    And wave 8 is reported as completed, and was
    And wave 9 is reported as completed, and was

    Examples:
      | seconds |
      | 0.4     |
      | 1.2     |

  Scenario: A repeated order meets a service that has lost a task meanwhile
    The first attempt of an order was lost, and a worker died before the next one, which
    used up the one task that the service tolerates away. The repeated order would take
    a second one.
    Given a fleet of 3 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    And maintenance orders of wave 8 are lost on their way for 6 s
    And the running tasks of the service are counted as each maintenance begins
    When a service of 3 tasks of 8 accelerators of which 1 may be away runs
    And operators ask for maintenance of vm-w1 within 60 s
    And 4 s pass
    And worker w2 crashes for good
    And 8 s pass
    And worker w4 is added to the list
    And 30 s pass
    Then wave 8 is reported as completed, and was
    And at each begin 3 tasks of the service ran
