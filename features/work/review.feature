Feature: Nothing counts as ended or failed without proof

  Scenario: A maintenance order whose answer was lost is sent again as a first one
    The answer to a maintenance order was lost, and the VM is back with another
    incarnation of its worker when the order is repeated. The platform refuses it
    because it is asked too often, so the record of the order is removed and the order
    is later sent as a first one. The answer is that this maintenance has begun, which
    is true of the earlier one; if it counted as the end of everything that runs there
    now, a render would be started a second time beside itself, and the worker would get
    no more work.
    Given a fleet of 3 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    And the answers to the next 1 maintenance orders are lost
    And maintenance orders for vm-w1 are refused for 2 s once it is back
    And the tasks of v1 take 30 s
    When operators ask for maintenance of vm-w1 within 25 s
    And 3 s pass
    And job v1 is handed in with steps
      | count | accelerators |
      | 3     | 8            |
    And v1 runs on the fleet
    And worker w4 is added to the list
    And 20 s pass
    Then the fleet's ledger shows nothing wrong
    And every task of v1 was started once

  Scenario: The failure of a gang's member is listed to two owners
    One member fails, and this is recorded while the other member's end is not known.
    The store's answer is lost and the owner dies before it acknowledges the end, so the
    worker reports the same failure to the next owner. If it were counted again, one
    failure would use up two attempts, and the caller would see a failed job that would
    have run.
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
    A job ended long ago and its records are removed, while the owner has just read the
    list of jobs, because the store had dropped its history. The list still contains the
    job; if it counted as new, it would run once more and its caller would be billed
    twice.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And 1 processes of ours
    And the store drops its history and answers late while records are removed
    When job k1 is handed in with steps
      | count | accelerators |
      | 1     | 1            |
    Then job k1 is shown as completed within 10 s
    And nothing of k1 starts again within 200 s

  Scenario: A second wave is not taken for the first one on the same VM
    A VM had its maintenance in one wave and is named by another. The order of the
    second wave is lost. If the incarnation that followed the first wave counted as
    proof for the second one, operators would be told that a maintenance is done which
    has never begun.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And a VM under each worker
    And 1 processes of ours
    And maintenance orders of wave 9 are lost on their way
    When operators ask for maintenance of vm-w1 within 25 s
    And 15 s pass
    Then wave 8 is reported as completed
    When operators ask for maintenance of vm-w1 within 25 s
    And 15 s pass
    Then wave 9 is not reported as completed

  Scenario: The owner changes while no queue of a job's name is configured
    Operators remove a queue for some seconds while a job of it runs, and the owner dies
    meanwhile. The next owner finds no queue of that name and gives the job one attempt,
    so the first failed run ends it. Its caller sees a failed job that had an attempt
    left.
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
    Another writer put a second worker's address over a worker's entry, and a new owner
    has read it. That writer removes the entry, and there is none until the worker
    writes its next heartbeat. The second worker still answers that another incarnation
    serves at its address; if the missing entry made that count as the end of the first
    incarnation, its tasks would be started elsewhere beside themselves.
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
