Feature: Large messages complete over a slow link
  The limit of a call must leave time for the largest message that the call can carry. A
  call that is cut off begins again at the first byte: it never completes, and takes the
  link from all others.

  Scenario: A new owner reads large statistics
    Guards against an owner that never gets beyond its first read, so no job starts.
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And statistics of 15000 workers and 4000 queues from an earlier owner
    When p1 starts over a link of 5 Mbit/s
    And 1 s pass
    And job l1 is handed in at p1
    Then job l1 is shown as completed within 30 s

  Scenario: Many large records change at once
    Guards against an owner that writes them all at the same time, so that each write
    times out and no task of these jobs is ever started.
    Given a fleet of 1 workers with 8 accelerators in 1 racks
    And 8 jobs of 4000 tasks each are open
    When an owner over a link of 5 Mbit/s records a start of every task
    Then all of these records are stored within 60 s

  Scenario: The policy changes under a submission
    Guards against a caller who is told that its job may run, since the refusal brings
    the whole policy and is cut off.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And a policy of 1000 kB
    And 2 processes of ours
    When p1 gets a link of 5 Mbit/s
    And operators change the policy
    And job l3 is handed in at p1 at once
    Then the caller is told whether the job was accepted

  Scenario: Callers keep asking how many jobs wait
    Guards against a read that begins each second and takes longer than that, so that
    the reads crowd one another out.
    Given a fleet of 1 workers with 8 accelerators in 1 racks
    And some other process schedules
    And 1 processes of ours
    And 11000 jobs wait
    When p1 gets a link of 5 Mbit/s
    And for 15 s 1 callers ask p1 every 0.25 s for the number of waiting jobs
    Then each caller of the last 5 s was told within 2.85 s

  Scenario: The count of waiting jobs is never answered
    Guards against callers who all wait for a read on a dead connection.
    Given a fleet of 1 workers with 8 accelerators in 1 racks
    And the store leaves the first list unanswered
    When two callers ask 1.25 s apart for the number of waiting jobs
    Then the second is told at once

  Scenario: The count of waiting jobs fails after its caller has gone
    Guards against an exception that nobody retrieves, which the event loop reports by a
    traceback in the log.
    Given a fleet of 1 workers with 8 accelerators in 1 racks
    And the store refuses lists after 0.5 s
    When a caller asks for the number of waiting jobs and goes after 0.2 s
    Then one pending_count_failed is logged
    And the event loop reports no exception

  Scenario: The count of waiting jobs fails for all who share it
    Guards against a caller who waits on, or is told a number, when the read that it
    shares has failed; and against a later caller who gets the old failure.
    Given a fleet of 1 workers with 8 accelerators in 1 racks
    And the store refuses lists after 0.5 s
    When 3 callers ask together for the number of waiting jobs
    Then each of them gets the failure and no pending_count_failed is logged
    And a caller who asks after that is told as soon as the store answers
    And the event loop reports no exception

  Scenario: Many tasks with large arguments start at once
    Guards against starts that crowd one another out, so that all of them time out and
    are sent again.
    Given a fleet of 32 workers with 8 accelerators in 4 racks
    And 1 processes of ours
    When p1 gets a link of 5 Mbit/s
    And job l5 of 256 tasks with arguments of 4000 bytes is handed in at p1
    Then job l5 is shown as completed within 30 s
    And every task of l5 was started once

  Scenario: Urgent starts come among many large ones
    Guards against urgent work that waits behind the large starts of work that can wait.
    Given a fleet of 32 workers with 8 accelerators in 4 racks
    And 1 processes of ours
    When p1 gets a link of 5 Mbit/s
    And job l6 of 200 tasks with arguments of 4000 bytes is handed in at p1
    And 0.3 s pass
    And job u6 is handed in to urgent by domes with steps
      | count | accelerators |
      | 2     | 8            |
    Then u6 runs on the fleet within 0.8 s

  Scenario: A worker leaves while large starts wait for the link
    Guards against a start that is sent in time and arrives when its worker must get no
    new work any more.
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And 1 processes of ours
    When p1 gets a link of 5 Mbit/s
    And job l7 of 800 tasks with arguments of 4000 bytes is handed in at p1
    And 4 s pass
    And on worker w2, maintenance is announced
    Then worker w2 gets no start later than 2 s after that
    And worker w2 had got starts before

  Scenario Outline: Starts share a link
    Guards against starts that are held up though the link carries them together, and
    against ones that hold a share of it without being sent.
    Given starts with arguments of <bytes> bytes over a link of <link> Mbit/s
    When <count> of them are to be sent at once
    Then <together> are sent together, and the others as these are answered
    And none holds a share of the link after all were sent or cancelled

    Examples:
      | bytes  | link | count | together |
      | 600    | 5    | 39    | 39       |
      | 4000   | 100  | 256   | 256      |
      | 4000   | 5    | 256   | 15       |
      | 262144 | 5    | 3     | 1        |

  Scenario: Callers ask together for the state of a large job
    Guards against reads of one record that crowd one another out, so that no caller is
    ever told.
    Given a fleet of 1 workers with 8 accelerators in 1 racks
    And some other process schedules
    And 1 processes of ours
    And a job of 4000 tasks whose record is stored
    When p1 gets a link of 5 Mbit/s
    And for 10 s 5 callers ask p1 every 2.5 s for the state of that job
    Then each caller of the last 5 s was told within 2.85 s

  Scenario: One answer is lost while callers keep coming
    Guards against a check of the store by a read of the whole policy, which is cut off
    at each caller and keeps the reads that would succeed from succeeding.
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And some other process schedules
    And a policy of 200 kB
    And 1 processes of ours
    When p1 gets a link of 5 Mbit/s
    And the answers to the next 1 writes are lost
    And for 12 s 2 callers hand in jobs at p1 every 0.2 s
    Then each caller of the last 5 s was told within 2.85 s

  Scenario: Another VM asks whether the store answers
    Guards against a VM that calls the store away because its policy takes longer to
    arrive than the query may take, so that callers of the other VM are told to wait.
    Given a VM with a link of 5 Mbit/s that has read a policy of 200 kB
    When another VM asks it whether the store answers
    Then it says yes within 0.2 s

  Scenario: The list of workers is long
    Guards against an owner that gives no work to any worker, since its list of them is
    out of date as soon as it has arrived.
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And the list has 3000 workers of other services
    And 1 processes of ours
    When p1 gets a link of 5 Mbit/s
    And 3 s pass
    And job l9 is handed in at p1
    Then job l9 is shown as completed within 12 s

  Scenario: A process reads the settings of a large fleet
    Guards against a process that never receives a change of the settings from the
    store, since a page is limited by its number of values and not by their size.
    Given a settings store loaded with 15000 workers, 19 domains, 210 teams
    And each of these settings was changed 2 times
    When a process begins to follow them over a link of 5 Mbit/s
    Then it has read all of them within 30 s

  Scenario: A new owner loads more than its limit leaves time for
    Guards against an owner that resigns while its state still arrives, so that the next
    one begins again and none ever schedules.
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And 7000 jobs of 1 tasks each are open
    When p1 starts on a VM with a link of 5 Mbit/s
    Then p1 gives its first order within 130 s of being the owner

  Scenario: A new owner goes on with a wave over many VMs
    Guards against a wave that stands still, since the record of its progress takes
    longer to arrive than its read may take.
    Given a fleet of 1 workers with 8 accelerators in 1 racks
    And a wave over 4000 VMs with names of 60 bytes, which an earlier owner has begun
    When p1 starts over a link of 5 Mbit/s
    Then the wave is completed within 30 s
