Feature: Nothing runs twice and nothing is lost when parts fail
  Accepted jobs are in the store; what runs is known by the workers.

  Background:
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And 3 processes of ours

  Scenario: The scheduling process dies while tasks run
    The machine of the process that schedules loses power. Its tasks go on under their
    leases, and the caller sees the job end as if nothing had happened.
    Given the tasks of d1 take 6 s
    When job d1 is handed in with steps
      | count | accelerators |
      | 6     | 1            |
    And d1 runs on the fleet
    And the scheduling process dies
    Then another process schedules within 2.5 s
    And job d1 is shown as completed within 12 s
    And every task of d1 was started once
    And the fleet's ledger shows nothing wrong

  Scenario: All processes are killed together and are back at once
    The key of the killed owner exists until its lease has expired. An urgent job that
    arrives meanwhile would wait for that and be late, though the process that wrote the
    key is back and knows that it owns nothing.
    Given the tasks of d0 take 2 s
    When all processes die and are back after 0.2 s
    Then a process schedules within 0.3 s
    When job d0 is handed in with steps
      | count | accelerators |
      | 2     | 1            |
    Then job d0 is shown as completed within 4 s
    And the fleet's ledger shows nothing wrong

  Scenario: A start is carried out seconds after it was given up
    A worker leaves an order unanswered and carries it out late. If the task were
    started elsewhere meanwhile, it would run twice and be billed twice.
    Given the next 3 orders to worker w1 are carried out 5 s late
    And the tasks of d2 take 8 s
    When job d2 is handed in with steps
      | count | accelerators |
      | 3     | 8            |
    And 1.2 s pass
    And worker w1 is draining
    Then job d2 is shown as completed within 40 s
    And the fleet's ledger shows nothing wrong

  Scenario: The answers to starts are lost
    Given the answers to the next 2 orders to every worker are lost
    When job d3 is handed in with steps
      | count | accelerators |
      | 4     | 4            |
    Then job d3 is shown as completed within 20 s
    And the fleet's ledger shows nothing wrong

  Scenario: A worker is cut off and runs on
    Its tasks run until its lease expires. If they were started elsewhere before that,
    they would run twice at one time; if they were never started again, the job would
    not end.
    Given the tasks of d4 take 30 s
    When job d4 is handed in with steps
      | count | accelerators |
      | 3     | 8            |
    And d4 runs on the fleet
    And a worker that runs d4 is cut off
    Then after 20 s 3 tasks of d4 run without it
    And the fleet's ledger shows nothing wrong

  Scenario: A worker that was given up is back under its name
    A network cut lasts longer than the worker's lease and its entry is gone, so the
    worker is given up; then it is back. It must get work again, or a job that needs the
    whole fleet waits indefinitely.
    When worker w1 is cut off
    And the entry of w1 is gone
    And 20 s pass
    And worker w1 is back under its name
    And 2 s pass
    Given the tasks of d5 take 3 s
    When job d5 is handed in with steps
      | count | accelerators |
      | 4     | 8            |
    Then job d5 is shown as completed within 8 s
    And the fleet's ledger shows nothing wrong

  Scenario: A task ends while the store is down, and the scheduling process dies
    A worker reports an end until the owner acknowledges it. If the owner did so before
    the end is stored, the next owner would find neither the run nor its end, and start
    again a task that has completed.
    Given the tasks of e2 take 3 s
    When job e2 is handed in with steps
      | count | accelerators |
      | 2     | 1            |
    And e2 runs on the fleet
    And the store goes down and its leases pause
    And 4 s pass
    And the scheduling process dies
    And the store is back
    Then job e2 is shown as completed within 10 s
    And every task of e2 was started once
    And the fleet's ledger shows nothing wrong

  Scenario: A worker crashes and its next incarnation has its address
    Given the tasks of d6 take 4 s
    When job d6 is handed in with steps
      | count | accelerators |
      | 4     | 8            |
    And d6 runs on the fleet
    And worker w1 crashes and starts again as w9
    Then job d6 is shown as completed within 14 s
    And the fleet's ledger shows nothing wrong

  Scenario Outline: A worker starts again while its former entry still stands
    A worker crashed, and its next incarnation came up at the same address within a
    second. The store keeps the entry of the former one for three heartbeats, so for
    seconds the list has two workers at one address. The owner took each for the other's
    successor whenever it read the list, and counted the tasks of the live one as gone:
    they were started elsewhere while they ran, and a client was billed twice. The
    owner's log replaced the live worker by the entry of the dead one 9 ms before the
    second run of a task started, and again at every reading of the list.
    Given the tasks of d0 take 6 s
    And the tasks of d6 take 4 s
    When job d0 is handed in with steps
      | count | accelerators |
      | 4     | 1            |
    And d0 runs on the fleet
    And worker <former> crashes, and <next> serves at its address beside its entry
    And 1 s pass
    And job d6 is handed in with steps
      | count | accelerators |
      | 6     | 3            |
    And 4.5 s pass
    And the entry of <former> is gone
    Then job d0 is shown as completed within 20 s
    And job d6 is shown as completed within 20 s
    And the fleet's ledger shows nothing wrong
    And no task of d6 was started twice

    Examples: the order in which the list names the two
      | former | next |
      | w1     | w9   |
      | w4     | w0   |

  Scenario: The store is down while tasks run
    Nothing can be accepted or recorded, but runs must not lapse: otherwise a store
    outage of four seconds costs a night's renders.
    Given the tasks of d7 take 12 s
    When job d7 is handed in with steps
      | count | accelerators |
      | 4     | 8            |
    And d7 runs on the fleet
    And the store is down for 5 s
    Then job d7 is shown as completed within 20 s
    And every task of d7 was started once
    And the fleet's ledger shows nothing wrong

  Scenario: Answers to the owner's writes are lost
    When the answers to the next 6 writes are lost
    And job d8 is handed in with steps
      | count | accelerators |
      | 4     | 8            |
    Then job d8 is shown as completed within 20 s
    And the fleet's ledger shows nothing wrong

  Scenario: An older record is written late, after a newer one
    The store carries a write out seconds after its caller gave up on it. If it
    overwrote the newer record, the next owner would start again what runs or has ended.
    Given the tasks of d9 take 1 s
    When the next 2 writes of records are carried out 2.5 s late
    And job d9 is handed in with steps
      | count | accelerators |
      | 4     | 8            |
    And 4 s pass
    And the scheduling process dies
    Then job d9 is shown as completed within 20 s
    And the fleet's ledger shows nothing wrong

  Scenario: The scheduling process is suspended past its lease
    Another process schedules meanwhile. The suspended one must give no orders from its
    old state when it resumes, or two processes place work on one worker.
    When the scheduling process is suspended for 10 s
    Then it gives no order
    And another process schedules within 2.5 s

  Scenario: All processes lose power and come back
    Given the tasks of e1 take 9 s
    When job e1 is handed in with steps
      | count | accelerators | gang |
      | 4     | 8            | yes  |
    And e1 runs on the fleet
    And all processes die and are back after 1.5 s
    Then job e1 is shown as completed within 14 s
    And every task of e1 was started once
    And the fleet's ledger shows nothing wrong

  Scenario: A worker fails all that it starts
    Given worker w1 fails all that it runs
    When 6 jobs f are handed in, each with steps
      | count | accelerators |
      | 1     | 8            |
    Then the 6 jobs f are shown as completed within 30 s

  Scenario: A small machine schedules only while no larger one does
    The owner of a large fleet takes most of a small machine's processor: polls of
    workers come late, leases expire, and urgent work waits behind them.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And processes of ours on machines of 0.5, 0.5 and 2 cores, the larger one last
    Then p3 schedules
    When the scheduling process dies
    Then another process schedules within 4 s

  Scenario: A new owner's first polls of a worker go unanswered
    The owner died, and the next one's first polls of a worker were lost; its stop of a
    cancelled task there was answered. The new owner had extended no lease itself and
    took that for an expired lease, though the former owner had extended it for seconds
    more: what ran on the worker was started elsewhere beside it. The log showed the
    lease as over 0.6 s after the ownership had changed, with four members.
    Given the tasks of c0 take 12 s
    And the tasks of c1 take 12 s
    When job c0 is handed in with steps
      | count | accelerators |
      | 3     | 4            |
    And c0 runs on the fleet
    And job c1 is handed in with steps
      | count | accelerators |
      | 3     | 4            |
    And c1 runs on the fleet
    And every worker that runs both c0 and c1 answers no poll
    And job c1 is cancelled
    And the scheduling process dies
    And 4 s pass
    And every worker answers polls again
    Then job c0 is shown as completed within 20 s
    And the fleet's ledger shows nothing wrong
    And no task of c0 was started twice

  Scenario Outline: An entry gives a live worker another one's address
    Another writer overwrote a worker's entry with the address of a second worker. Asked
    for the first incarnation, the second worker answers truly that another one serves
    at its address; if that counted as the end of the first one, its tasks would be
    started elsewhere while they run, and a render would be billed twice.
    Given the tasks of c2 take 9 s
    When job c2 is handed in with steps
      | count | accelerators |
      | 5     | 4            |
    And c2 runs on the fleet
    And the entry of <worker> names the address of w4
    And <what happens>
    And 3 s pass
    And the entry of <worker> is right again
    Then job c2 is shown as completed within 25 s
    And the fleet's ledger shows nothing wrong
    And no task of c2 was started twice

    Examples: the owner has reached the worker before, or is new
      | worker | what happens               |
      | w1     | 1 s pass                   |
      | w2     | the scheduling process dies |

  Scenario: The owner dies while no entry names a worker that runs on
    A worker can't reach the store, so its entry has lapsed, and the owner dies. The
    next owner finds the worker only in records. If it didn't poll the worker there, the
    worker's lease would expire, and hours of renders would be lost and repeated.
    Given the tasks of h0 take 20 s
    When job h0 is handed in with steps
      | count | accelerators |
      | 4     | 8            |
    And h0 runs on the fleet
    And the entry of w1 is gone
    And the scheduling process dies
    Then job h0 is shown as completed within 24 s
    And every task of h0 was started once
    And the fleet's ledger shows nothing wrong

  Scenario: The owner dies after a worker whose entry has gone
    A worker crashed, its next incarnation serves at its address, and the owner dies
    once the former entry has gone. The next owner can ask at the address in its
    records; if it waited for the lease of a worker that it can't find, the callers of
    what ran there would wait 16 s more.
    Given the tasks of h1 take 6 s
    When job h1 is handed in with steps
      | count | accelerators |
      | 4     | 8            |
    And h1 runs on the fleet
    And the scheduling process dies
    And worker w1 crashes and starts again as w9
    Then job h1 is shown as completed within 13 s
    And the fleet's ledger shows nothing wrong

  Scenario: A worker that resets its connections for half a second gets no work meanwhile
    A gang of three has room on three workers; a fourth one is free, and goes down and up.
    If a member were ordered there, nobody would know whether it was started, and the
    whole gang would wait until that worker answers.
    Given the tasks of k1 take 2 s
    When worker w1 resets every connection for 0.6 s from now on
    And 0.1 s pass
    And job k1 is handed in with steps
      | count | accelerators | gang |
      | 3     | 8            | yes  |
    Then k1 runs on the fleet within 0.2 s
    When 1 s pass
    And job k2 is handed in with steps
      | count | accelerators |
      | 1     | 8            |
    Then 1 task of k2 was started in 1 s
