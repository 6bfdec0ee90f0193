Feature: An owner that can't do its work gives the ownership up
  An owner renews its lease with a few bytes, so it may keep the ownership while it
  receives no caller requests, reaches no worker and writes no record.

  Background:
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And 3 processes of ours

  Scenario: The owner's link can't carry the fleet
    The link of the owner's VM is shared with a neighbour and has a hundredth of its
    usual bandwidth. Lease renewals get through, but caller requests and workers'
    answers don't. The other processes accepted jobs, and none of them ever started.
    Given the tasks of e1 take 20 s
    And the tasks of e2 take 2 s
    When job e1 is handed in with steps
      | count | accelerators |
      | 2     | 1            |
    And e1 runs on the fleet
    And the link of the scheduling process carries 500 bytes a second
    And 1 s pass
    And job e2 is handed in at another process with steps
      | count | accelerators |
      | 2     | 1            |
    Then another process schedules within 12 s
    And job e2 is shown at another process as completed within 10 s
    And job e1 is shown at another process as completed within 20 s
    And every task of e1 was started once
    And the fleet's ledger shows nothing wrong

  Scenario: The owner's processor can't keep up with the workers
    The owner takes so long to process an answer that the answers queued behind it time
    out: its log is full of workers that don't answer, while all of them do.
    Given the tasks of e2 take 2 s
    When the processor of the scheduling process takes 0.3 s to process an answer
    And 1 s pass
    And job e2 is handed in at another process with steps
      | count | accelerators |
      | 2     | 1            |
    Then another process schedules within 15 s
    And job e2 is shown at another process as completed within 10 s
    And the fleet's ledger shows nothing wrong

  Scenario: The owner can't read the policy
    Guards against an owner that renews its lease and decides nothing, since a decision
    needs a recent policy.
    Given the tasks of e3 take 2 s
    When the scheduling process can't read the policy
    And 2 s pass
    And job e3 is handed in at another process with steps
      | count | accelerators |
      | 2     | 1            |
    Then another process schedules within 15 s
    And job e3 is shown at another process as completed within 10 s
    And the fleet's ledger shows nothing wrong

  Scenario: The owner can't read the list of workers
    Guards against an owner that renews its lease and decides nothing, since a decision
    needs a list of workers that shows which of them leave.
    Given the tasks of e9 take 2 s
    When the scheduling process can't read the list of workers
    And 2 s pass
    And job e9 is handed in at another process with steps
      | count | accelerators |
      | 2     | 1            |
    Then another process schedules within 15 s
    And job e9 is shown at another process as completed within 10 s
    And the fleet's ledger shows nothing wrong

  Scenario: A new owner can't read the list of workers
    Guards against an owner that loads its state again and again without end.
    Given the tasks of e10 take 2 s
    When the scheduling process dies, and the next one can't read the list of workers
    And job e10 is handed in at another process with steps
      | count | accelerators |
      | 2     | 1            |
    Then another process schedules within 15 s
    And job e10 is shown at another process as completed within 10 s

  Scenario Outline: The list of workers can't be read while an owner loads its state
    Guards against an owner that resigns after one lost read: it reads all jobs again
    before the next read of the list, and the next owner would begin from nothing.
    When <count> reads of the first list fail, with <seconds> s of loading after each
    Then the list <counts> as silent

    Examples:
      | count | seconds | counts         |
      | 1     | 8       | does not count |
      | 4     | 8       | does not count |
      | 5     | 0       | does not count |
      | 6     | 2       | counts         |

  Scenario Outline: The owner's calls to workers go unanswered
    The network between the owner's VM and the workers is broken, and that of no other
    VM. Lease renewals and records get through. Tasks are started and their starts given
    up, again and again, for healthy workers.
    Given the tasks of e6 take 20 s
    And the tasks of e7 take 2 s
    When job e6 is handed in with steps
      | count | accelerators |
      | 2     | 1            |
    And e6 runs on the fleet
    And of ten calls of the scheduling process to workers <lost> are lost
    And job e7 is handed in at another process with steps
      | count | accelerators |
      | 20    | 1            |
    Then another process schedules within 8 s
    And job e7 is shown at another process as completed within 12 s
    And job e6 is shown at another process as completed within 25 s
    And every task of e6 was started once
    And the fleet's ledger shows nothing wrong

    Examples:
      | lost |
      | 10   |
      | 8    |

  Scenario: The owner receives no caller requests while all else goes on
    Its connections for watches hang, those for short calls don't. Cancellations that
    other processes accepted never reach it, and callers pay for runs that go on.
    Given the tasks of e3 take 60 s
    When job e3 is handed in with steps
      | count | accelerators |
      | 2     | 1            |
    And e3 runs on the fleet
    And the scheduling process can't read caller requests
    And job e3 is cancelled at another process
    Then another process schedules within 9 s
    And nothing of e3 runs after 2 s
    And the fleet's ledger shows nothing wrong

  Scenario: Nothing starts of a job whose cancellation may have been missed
    The owner's reads fail for some seconds while its writes succeed. A caller cancels a
    job of many tasks meanwhile and is told that it is cancelled; more of its tasks were
    started all the same, one after another as earlier ones ended.
    Given the tasks of e4 take 1 s
    When job e4 is handed in with steps
      | count | accelerators |
      | 40    | 8            |
    And 1 s pass
    And the scheduling process can't read caller requests for 6 s, and e4 is cancelled after 0.5 s
    Then nothing of e4 started later than 3 s after that
    And the fleet's ledger shows nothing wrong

  Scenario Outline: An owner that can't write stops nothing for others
    Guards against preempting work for starts that can't be recorded.
    Given the tasks of b1 take 60 s
    When job b1 is handed in to patient by post with steps
      | count | accelerators | checkpoints |
      | 32    | 1            | yes         |
    And b1 runs on the fleet
    And job u1 is handed in to urgent by domes with steps
      | count | accelerators |
      | 8     | 1            |
    And <wait> s pass
    And the store <refuses> the scheduling process
    Then another process schedules within 4 s
    And until then nothing of b1 was stopped
    And u1 runs on the fleet within 1.5 s
    And the fleet's ledger shows nothing wrong

    Examples:
      | refuses         | wait |
      | refuses         | 1.2  |
      | is cut off from | 1    |

  Scenario: No process can do better
    Only one process is left, and it receives no caller requests. If it left the fleet
    without an owner, the workers' leases would expire and every run would be lost.
    Given the tasks of e5 take 30 s
    When job e5 is handed in with steps
      | count | accelerators |
      | 2     | 1            |
    And e5 runs on the fleet
    And only the scheduling process is left, and it can't read caller requests for 15 s
    Then it owned the fleet for most of that time
    And job e5 is shown as completed within 25 s
    And every task of e5 was started once
    And the fleet's ledger shows nothing wrong

  Scenario Outline: Trouble of the store that all processes share
    A change of owner doesn't help here: during each change nothing new starts for
    seconds.
    When the store is <fault> for <seconds> s
    Then the ownership changed at most <most> times

    Examples:
      | fault                                     | seconds | most |
      | down with its leases paused               | 8       | 0    |
      | hanging with its leases paused            | 8       | 0    |
      | hanging                                   | 8       | 1    |
      | sixty times slower                        | 20      | 0    |
      | unable to read caller requests for anyone | 30      | 3    |
      | unable to list the workers for anyone     | 30      | 3    |

  Scenario Outline: All processes come back after an outage
    All VMs lose power at once, and the store returns after them. Accepted work waits
    for an owner.
    Given VMs with <cores> cores and <mbps> Mbit/s from now on
    When all processes die while the store is down, are back, and the store after 5 s
    Then a process schedules within 3 s

    Examples: ample VMs, and a site that has only the weakest
      | cores | mbps |
      | 1     | 1000 |
      | 0.5   | 5    |

  Scenario: The count of owners that gave up can't be read
    Another version, or an operator, wrote an unreadable value under its key. Each owner
    failed on it in its first second, and no job ever ran.
    Given the store has an unreadable count of owners that resigned
    And the tasks of e8 take 2 s
    When the scheduling process dies
    Then another process schedules within 2.5 s
    When job e8 is handed in at another process with steps
      | count | accelerators |
      | 2     | 1            |
    Then job e8 is shown at another process as completed within 6 s
    And the count of owners that resigned is gone after 25 s

  Scenario: An owner that gave up stands again last
    A VM that was found unable to do the work would win the next election, and the fleet
    would wait for another change of owner.
    When the scheduling process can't read caller requests
    Then another process schedules within 9 s
    When it can read caller requests again
    And the scheduling process dies
    Then the one that resigned does not schedule within 3 s

  Scenario: The order in which VMs stand for a vacancy
    Then VMs run for election after these seconds
      | processor | link   | from  | to    |
      | 2.1       | 200    | 0     | 0     |
      | 1.07      | 1000   | 0     | 0     |
      | 0.5       | 1000   | 0.3   | 0.45  |
      | 0.5       | 5      | 0.5   | 0.5   |
      | 0.5       | 10     | 0.4   | 0.49  |
      | 2.1       | 5      | 0.5   | 0.5   |
      | 2.1       | 20     | 0.3   | 0.45  |
      | 0.01      | 0.01   | 0.5   | 0.5   |

  Scenario Outline: What the owner's measures show
    Given a healthy owner
    And its <measure> is <value>
    When it is judged for 2 s
    Then it <does>

    Examples:
      | measure       | value | does                                |
      | requests_age  | 3.9   | stays                               |
      | requests_age  | 4.1   | resigns: requests not received      |
      | records_age   | 4.9   | stays                               |
      | records_age   | 5.1   | resigns: records not written        |
      | heard         | 50    | stays                               |
      | heard         | 49    | resigns: workers not heard          |
      | list_silence  | 6.4   | stays                               |
      | list_silence  | 6.6   | resigns: workers not listed         |
      | loop_delay    | 0.39  | stays                               |
      | loop_delay    | 0.41  | resigns: processor behind           |
      | unanswered    | 0.49  | stays                               |
      | unanswered    | 0.51  | resigns: calls not answered         |

  Scenario Outline: The store has not answered for long enough to judge by
    Right after an outage every owner is behind. Another owner would have to read
    everything again and be no faster.
    Given a healthy owner
    And its <measure> is <value>
    And its store_answers is 3
    When it is judged for 2 s
    Then it stays

    Examples:
      | measure      | value |
      | requests_age | 9     |
      | records_age  | 9     |
      | list_silence | 9     |
      | heard        | 0     |
      | loop_delay   | 2     |
      | unanswered   | 1     |

  Scenario: One bad moment changes nothing
    Given a healthy owner
    And its requests_age is 9
    When it is judged for 0.9 s
    Then it stays

  Scenario Outline: Each owner serves longer the more have given up before it
    Given a healthy owner
    And its requests_age is 90
    And <before> owners resigned before it
    Then it may resign after <seconds> s, and is the last candidate for <pause> s afterwards

    Examples:
      | before               | seconds | pause |
      | 0                    | 4       | 20    |
      | 1                    | 6       | 40    |
      | 3                    | 13.5    | 80    |
      | 9                    | 45.5625 | 80    |
      | an unknown number of | 45.5625 | 80    |
