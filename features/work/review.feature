Feature: What counts as gone, or as failed, is so

  Scenario: An upkeep order that was carried out unheard is given again as a first one
    The answer to an upkeep order was lost, and the VM is back with another life of
    its worker by the time that the order is repeated. The platform refuses that one,
    being asked too often, so the order is struck off and later given as if for the
    first time. The answer is that this upkeep has begun, which was the one before;
    taken for the end of all that runs there now, a render is started a second time
    beside itself, and the worker gets no more work.
    Given a fleet of 3 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    And the answers to the next 1 upkeep orders are lost
    And upkeep orders for vm-w1 are refused for 2 s once it is back
    And the tasks of v1 take 30 s
    When operators ask for the upkeep of vm-w1 within 25 s
    And 3 s pass
    And job v1 is handed in with steps
      | count | accelerators |
      | 3     | 8            |
    And v1 runs on the fleet
    And worker w4 is new in the list
    And 20 s pass
    Then the fleet's ledger shows nothing wrong
    And every task of v1 was started once

  Scenario: The failure of a gang's member is listed to two owners
    One member fails, and that is written down while the other member's end has not
    been heard. The store's answer is lost and the owner dies before the worker is told
    that it may forget, so the next owner hears the same failure. Counted again, one
    failure uses up two attempts, and the caller is shown a failed job that would have
    run.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And 2 processes of ours
    And job g1 fails wherever it runs
    When job g1 is handed in with steps
      | count | accelerators | gang |
      | 2     | 8            | yes  |
    And g1 runs on the fleet
    And worker w1 is cut off
    And the answers to the next 1000 writes are lost
    And 3.2 s pass
    And the scheduling process dies
    And the answers to the next 0 writes are lost
    And worker w1 is back under its name
    Then job g1 is shown as failed within 20 s
    And g1 was started 4 times

  Scenario: A job's records are removed while the jobs are listed again
    A job ended long ago and its records are removed, while the owner has just read
    the list of jobs, because the store had dropped its history. The list still names
    the job; taken for a new one, it runs once more and its caller is billed twice.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And 1 processes of ours
    And while records are removed the store drops its history and answers late
    When job k1 is handed in with steps
      | count | accelerators |
      | 1     | 1            |
    Then job k1 is shown as completed within 10 s
    And nothing of k1 starts again within 200 s

  Scenario: A second wave is not taken for the first one on the same VM
    A VM had its upkeep in one wave and is asked for in another. The order of the
    second wave gets lost on its way. The life that the first wave brought is taken
    for the sign that the second is over too, so operators are told that an upkeep
    was done which has never begun.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    And upkeep orders of wave 9 are lost on their way
    When operators ask for the upkeep of vm-w1 within 25 s
    And 15 s pass
    Then wave 8 is said to be completed
    When operators ask for the upkeep of vm-w1 within 25 s
    And 15 s pass
    Then wave 9 is not said to be completed

  Scenario: The owner changes while no queue of a job's name is configured
    Operators take a queue away for some seconds while a job of it runs, and the owner
    dies meanwhile. The next owner finds no queue of that name and judges the job by
    one attempt, so the first failed run ends it. Its caller is shown a failed job that
    had an attempt left.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And 2 processes of ours
    And job x1 fails wherever it runs
    When job x1 is handed in with steps
      | count | accelerators |
      | 1     | 1            |
    And x1 runs on the fleet
    And version 2 of the configuration has the urgent queue only
    And the scheduling process dies
    And 5 s pass
    And version 3 of the configuration has all queues
    Then job x1 is shown as failed within 20 s
    And x1 was started 2 times

  Scenario: A wrong entry is gone for a moment before the right one is back
    Another writer put a second worker's address over a worker's entry, which a new
    owner has read. Its writer removes the entry, and there is none until the worker
    writes its next heartbeat. The second worker still answers that another life serves
    there; with the entry gone for one reading, that is taken as the end of the first
    life, whose tasks start elsewhere beside themselves.
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And 3 processes of ours
    And the tasks of y1 take 9 s
    When job y1 is handed in with steps
      | count | accelerators |
      | 5     | 4            |
    And y1 runs on the fleet
    And the entry of w2 names the address of w4
    And the scheduling process dies
    And 3.5 s pass
    And the entry of w2 is gone
    And 1.2 s pass
    And the entry of w2 is right again
    Then job y1 is shown as completed within 25 s
    And the fleet's ledger shows nothing wrong
    And no task of y1 was started twice
