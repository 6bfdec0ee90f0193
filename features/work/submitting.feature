Feature: Callers hear the truth about what they hand in
  A job is accepted once the store has it, and callers are told "not run" only when it
  is certain.

  Background:
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And 2 processes of ours

  Scenario: A job that is sent again under its id remains one job
    When job g1 is handed in at p1 and again at p2
    Then both are told that it was accepted
    And 1 task of g1 was started in 5 s

  Scenario: Another organisation's job under the same id is refused
    When job g2 is handed in at p1 and by post at p2
    Then the second is told conflict

  Scenario: The answer to a submission is lost
    The store has written the job, but its answer is lost. The caller must not be told
    that the job did not run, since it will.
    When the answers to the next 1 writes are lost
    And job g3 is handed in at p1
    Then the caller is told that it was accepted
    And 1 task of g3 was started in 5 s

  Scenario: A submission is written late, while the store can't be read
    The store leaves the write unanswered, goes down, and carries it out later. The
    caller may only be told that the outcome is unknown.
    When the next write is carried out 3 s late and the store goes down
    And job g4 is handed in at p1
    Then the caller is told store_answer_lost
    When 1 s pass
    And the store is back
    Then 1 task of g4 was started in 8 s

  Scenario: The store is known to be down
    The caller is told at once that the job did not run, and when to retry; held until
    its deadline, it could not try elsewhere.
    When the store goes down and its leases pause
    And 1 s pass
    And job g5 is handed in at p1
    Then the caller is told store_unavailable within 0.05 s
    And 0 tasks of g5 were started in 5 s

  Scenario: The store is known to leave calls unanswered
    The caller may only be told that the job did not run while nothing was sent, and is
    told soon; held until a read has failed, it has less time to try elsewhere.
    When the store leaves the calls of p1 unanswered
    And 1.2 s pass
    And job g8 is handed in at p1
    Then the caller is told store_unavailable within 0.5 s
    And 0 tasks of g8 were started in 5 s

  Scenario: The policy changes under a submission
    A key is revoked between the read of the policy and the write of the job. The store
    refuses the write and returns the newer policy.
    When the key of domes is taken away
    And job g6 is handed in at p1 at once
    Then the caller is told unauthenticated

  Scenario: A process that is cut off from the store stops serving by its policy
    The process can't know whether a key is still valid, so it refuses before the time
    at which a revoked key must stop working.
    When p1 is refused by the store
    And 2 s pass
    Then p1 is not ready
    And a call with the key of domes at p1 is told store_unavailable
    And p2 is ready

  Scenario: An older policy never comes back into force
    When policy version 5 is in force
    And p1 is shown policy version 4 by a late answer
    Then p1 uses version 5

  Scenario: A cancelled job that does not exist is said not to exist
    Then cancelling job g9 at p1 finds none
    And the state of job g9 at p1 is none

  Scenario: Waiting jobs are counted until their first task starts
    Given the tasks of h1 take 60 s
    When job h1 is handed in with steps
      | count | accelerators |
      | 2     | 8            |
    And h1 runs on the fleet
    And job h2 is handed in with steps
      | count | accelerators |
      | 1     | 8            |
    And 1 s pass
    Then p1 counts 1 waiting job

  Scenario: A queue gets another name while a job waits in it
    Operators remove a queue and add it again under another name; callers go on using
    the same path. If queues were compared by name, the waiting job would be in no queue
    any more: its caller would be told that there is no such job, a repeat of an
    unanswered call that another job has the id, and a caller who cancels the job that
    there is none, while it starts all the same.
    Given the tasks of h3 take 30 s
    When job h3 is handed in with steps
      | count | accelerators |
      | 2     | 8            |
    And h3 runs on the fleet
    And job r1 is handed in at p1
    And the queue usual gets the name common
    Then at the path of common job r1 is shown as queued
    When job r1 is handed in at p1
    Then the caller is told that it was accepted
    And a cancel of r1 without a key at the path of urgent finds none
    And at the path of common job r1 is shown as queued
    When job r1 is cancelled at the path of common
    Then at the path of common job r1 is shown as cancelled
    And 0 tasks of r1 were started in 40 s

  Scenario: A job is not shown in another queue that stands beside its own
    Given the tasks of h4 take 30 s
    When job h4 is handed in with steps
      | count | accelerators |
      | 2     | 8            |
    And h4 runs on the fleet
    And job r2 is handed in at p1
    Then at the path of urgent job r2 is not known
    And at the path of usual job r2 is shown as queued

  Scenario Outline: A read of the policy is never answered
    Guards against a process that refuses all callers because one connection has gone
    silent.
    Given a process whose proof of the policy holds for <holds> s
    When it runs for 20 s while reads take 0.2 s and every tenth fails after 1 s
    Then its policy was recent all the time

    Examples:
      | holds |
      | 1.6   |
      | 2.5   |
      | 0.8   |

  Scenario Outline: The policy is read as often as its proof asks for
    Guards against every VM reading more often than the bound needs, and against a proof
    that lapses at the first failed read.
    Given a process whose proof of the policy holds for <holds> s
    When it runs for 20 s while every third read fails after 0.3 s
    Then it has read the policy at most <most> times
    And its policy was recent all the time

    Examples:
      | holds | most |
      | 1.6   | 48   |
      | 2.5   | 34   |
      | 0.8   | 77   |

  Scenario Outline: A large policy is read over a slow link
    Guards against a VM that refuses all callers for good once the policy has grown.
    Given a process whose proof of the policy holds for 2.4 s
    And its link has <megabits> Mbit/s
    When it runs for 60 s while operators replace a policy of <size> kB every 20 s
    Then callers were refused for at most 3 s after each change
    And its link carried each version once and at most 28 kB/s besides

    Examples:
      | megabits | size |
      | 5        | 30   |
      | 5        | 270  |
      | 5        | 540  |
      | 5        | 1048 |
      | 10       | 1048 |
      | 100      | 1048 |

  Scenario Outline: A policy takes longer to arrive than its proof holds
    Guards against a VM on a very slow link that never gets the policy.
    Given a process whose proof of the policy holds for 2.4 s
    And its link has <megabits> Mbit/s
    When it runs for 60 s while operators replace a policy of 1048 kB every 20 s
    Then callers were refused for at most <refused> s after each change
    And its link carried each version once and at most 28 kB/s besides

    Examples: the time of the transfer, and 3 s
      | megabits | refused |
      | 2        | 8.6     |
      | 1        | 14.2    |

  Scenario: The store refuses to check a large policy and serves its reads
    Guards against a VM whose policy depends on the store's changes once it has grown.
    Given a process whose proof of the policy holds for 2.4 s
    And its link has 1000 Mbit/s
    And the store refuses changes
    When it runs for 20 s while operators replace a policy of 100 kB every 10 s
    Then callers were refused for at most 1 s after each change
