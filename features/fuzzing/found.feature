Feature: Faults that were found stay found

  Regression tests. Each is the shortest run that once violated an invariant, over the
  real coordination code on a paused clock.

  Scenario: A start that failed once is tried again on the same workers
    One answer to a prepare is lost, the start is undone, and the job is retried. If the
    retry used the task ids of the first attempt, the workers would refuse them as
    ended, and the job would wait for ever beside free accelerators.
    Given a fuzzed cell of which only two workers may be used
    And the owner's third call to a worker is lost
    When a restartable gang of 5 seconds is submitted to the fuzzed cell
    And 40 seconds pass in the fuzzed cell
    Then no job of the fuzzed cell is stuck

  Scenario: The rest of a gang stops within one lease after a worker dies
    A worker dies right after its lease was renewed. If the other members were renewed
    for a whole lease after that, half a render would hold its accelerators for longer
    than the documented bound.
    Given a fuzzed cell that runs a restartable gang of 60 seconds
    When the second worker of the gang dies
    And 40 seconds pass in the fuzzed cell
    Then every invariant of gangs holds in the fuzzed cell

  Scenario: An owner keeps no half gang running while the store is down
    The store is down and the owner goes on renewing what runs. One member's engine ends
    by itself. The owner may stop nothing without its lease, so it must let the leases
    of the other members lapse; otherwise half a render would run for as long as the
    outage.
    Given a fuzzed cell that runs a restartable gang of 300 seconds
    When the store of the fuzzed cell goes down
    And 8 seconds pass in the fuzzed cell
    And the second worker of the gang loses its tasks
    And 60 seconds pass in the fuzzed cell
    Then every invariant of gangs holds in the fuzzed cell

  Scenario: A submission whose write comes late is not told that it did not run
    The store is slow: the job's record is written after its entry timed out. A read
    doesn't find it, and a second attempt is refused at once. A caller who is told "not
    run" submits the work again, and is billed twice.
    Given a fuzzed cell of four workers
    And the entry's write of a job comes late, and the next one is refused
    When a restartable gang of 5 seconds is submitted to the fuzzed cell
    And 10 seconds pass in the fuzzed cell
    Then every invariant of gangs holds in the fuzzed cell

  Scenario: A renewal that a silent connection swallows leaves the owner its cells
    Guards against an owner that loses every cell because one connection to the store
    has gone silent.
    Given a fuzzed cell that runs a restartable gang of 60 seconds
    When the owner's next call to the store is never answered
    And 10 seconds pass in the fuzzed cell
    Then the fuzzed cell has the owner and the epoch that it had

  Scenario: A gang that loses its workers at each start is given up
    Guards against restarting without end a job that crashes its workers' engines.
    Given a fuzzed cell of four workers
    When a restartable gang of 60 seconds is submitted to the fuzzed cell
    And each task of the fuzzed cell is lost within a second of its start, for 300 seconds
    Then the job of the fuzzed cell has failed after at most 6 starts

  Scenario: A gang that loses a worker now and then runs to its end
    Guards against failing a long job for workers that crash by themselves.
    Given a fuzzed cell of four workers
    When a restartable gang of 120 seconds is submitted to the fuzzed cell
    And the workers of the gang lose their tasks every 70 seconds, 8 times
    And 150 seconds pass in the fuzzed cell
    Then no job of the fuzzed cell is stuck
    And the job of the fuzzed cell has finished

  Scenario: The next owner renews the leases that it takes over at once
    Guards against task leases that lapse during a change of owner.
    Given a fuzzed cell that runs a restartable gang of 60 seconds
    When the owner of the fuzzed cell is killed
    Then the next owner renews the gang's leases within 0.5 seconds of its recovery

  Scenario: A new owner knows from the start which workers are leaving
    A worker leaves, and only the VM list shows it. The owner of its cell dies, and
    another placer takes over and places what waits. If it began before it had read the
    list, a gang would start on a worker that is about to go away.
    Given a fuzzed cell of four workers
    And the VM list shows a worker of the fuzzed cell as leaving for 10 seconds
    When the owner of the fuzzed cell is killed
    And a restartable gang of 5 seconds is submitted to the fuzzed cell
    And 10 seconds pass in the fuzzed cell
    Then every invariant of gangs holds in the fuzzed cell

  Scenario: A cancellation that meets a moving job is kept
    The owner of a cell dies after it has written a waiting job's record in another
    cell, and before it removed the one here. The caller cancels meanwhile. If the
    cancellation were written into the old record, a cancelled render would run.
    Given a fuzzed cell whose owner died while it moved a job to another cell
    When the caller of the moving job asks for its cancellation
    And 10 seconds pass in the fuzzed cell with every placer replaced
    Then the caller was refused, or the moved job is asked to be cancelled

  Scenario: A caller who hangs up takes no answer away from another one
    A caller goes away at the very moment at which another request ends and its slot
    goes to the next in the queue. If handing the slot to the one who left failed, the
    other caller would lose a whole answer to work that ran.
    Given one slot with a request in it and another request waiting for it
    When the waiting caller hangs up just before the request in the slot ends
    Then the slot is free for a third request

  Scenario: A caller who hangs up while the claim is written does not shut its id out
    The store is slow, and a caller goes away before the claim on its request is stored.
    If the release of the claim found nothing there and the claim were written
    afterwards, the same surcharge run could not be sent again for a day.
    Given a fuzzed counter with two entries
    And the store of the fuzzed counter takes 1.5 seconds for each call
    When a clerk sends a surcharge run and hangs up 2.0 seconds later
    Then the surcharge run is answered when it is sent again

  Scenario: A sending that a later one overtook speaks for itself
    The first attempt waits in a suspended entry; the caller sends the request again
    elsewhere, and it runs. The first entry resumes without a store and answers "not
    run", which is true of its own attempt. It must never send that attempt to a target.
    Given a fuzzed counter with two entries
    When a clerk's surcharge run waits in a suspended entry
    And the clerk sends it again to the other entry, which runs it
    And the first entry resumes while the store is down
    Then the surcharge run ran once and its first sending never reached a target
