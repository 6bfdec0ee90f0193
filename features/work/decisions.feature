Feature: One scheduling pass respects every bound
  Each property is checked on drawn fleets and jobs; the seeds are fixed.

  Scenario: No plan exceeds a bound of a worker or a step
    Then a drawn plan respects room, labels, pools, spreading and leaving workers

  Scenario: A gang is placed whole or not at all
    Then a drawn plan gives each unit a worker for every member

  Scenario: Guaranteed work is never stopped, and nothing is stopped for nothing
    Then a drawn plan stops only what may be stopped, and something starts for each stop

  Scenario: With an empty fleet whatever fits is started
    Then on an empty fleet a drawn unit that could ever run is started

  Scenario: Low-priority work does not starve a gang
    Small low-priority tasks take every accelerator as it becomes free. Without a
    reservation, a gang that needs two whole workers never finds them empty.
    Given a fleet state with 2 workers of 4 accelerators
    When tasks of one accelerator arrive all the time and a gang of 2 whole workers once
    Then the gang starts within 12 s

  Scenario: Urgent work avoids workers that are known to be slow
    A third of the workers takes 1.3 times as long; an urgent job there is late
    even if it starts at once.
    Given a fleet state with 4 workers of 4 accelerators
    And worker 0 has taken 1.4 times as long as the others, 4 times
    When an urgent task of one accelerator is placed
    Then it is not placed on worker 0

  Scenario: A worker that fails the tasks of two jobs is quarantined
    Given a quarantine for 6 workers
    When two jobs fail on worker 0
    Then worker 0 gets no work for 6 s
    When a run succeeds on worker 0 and then one job fails there
    Then worker 0 still gets work

  Scenario: The better of the caller's estimate and the observed mean is used
    Given callers whose estimates are off by a factor of three
    When 10 runs of 4 s end
    Then a run is expected to take about 4 s

  Scenario: Late work goes behind work that can be in time
    Given two waiting jobs of one queue, one of them late
    Then the one that can be in time goes first

  Scenario: Queue priority goes before slack
    Given a waiting job of each priority, the lowest with the least slack
    Then they go in the order of their queues' priorities

  Scenario: Nothing is stopped for a gang that its bound per worker prevents from starting
    Found by the drawn plans. With one task allowed per worker, room was made for four
    tasks on three workers, and a running gang was stopped for one that could not start.
    Given a fleet state with 3 workers of 8 accelerators
    And a checkpointed gang of 4 tasks of 4 accelerators runs
    When an urgent gang of 4 tasks of 4 accelerators with at most 1 on a worker waits
    Then nothing is stopped

  Scenario: Nothing is stopped for work whose room is reserved for work ahead of it
    Found by the drawn plans. Room was reserved for a guaranteed gang in what was free,
    not in what was being freed: a task was stopped for one that then could not start.
    Given a fleet state with 1 workers of 4 accelerators
    And domes and post are guaranteed 8 accelerators each
    And 2 urgent tasks of domes and 2 low-priority tasks run
    When a gang of 3 accelerators and 4 tasks of 1 wait, all urgent and of post
    Then what is stopped makes room for something that starts

  Scenario: A worker on which a run fails at once is quarantined after the first failure
    It fails all that it starts while it reports itself healthy. A job with two attempts
    would lose both of them there, or its second one on another such worker.
    Given a quarantine for 6 workers
    When a job fails 0.04 s after it was started on worker 0
    Then worker 0 gets no work for 3 s

  Scenario: A worker on which one job fails partway still gets work
    Given a quarantine for 6 workers
    When a job fails 2.0 s after it was started on worker 0
    Then worker 0 still gets work

  Scenario: Work with checkpoints is moved off a leaving worker in time
    A worker announces that it leaves in 2 s while a run needs 6 s more. Left there, the
    run would start over elsewhere; stopped too soon, it would lose a second of work.
    Given a fleet state with 2 workers of 8 accelerators
    And a checkpointed task of 8 s runs on worker 0, and one without checkpoints
    When worker 0 announces that it leaves in 2 s
    Then nothing is moved off it at once
    And after 1.2 s only the checkpointed task is

  Scenario Outline: A gang with a stalled member is restarted elsewhere
    One task of a gang makes no progress, or much less than the other, while its worker
    answers normally. The whole gang waits for it, and is too late for its caller
    although other workers are free.
    Given a fleet state with 4 workers of 4 accelerators
    And an urgent gang of 2 tasks of 4 accelerators runs for 1 s
    When its members show <first> and <second> percent after 2.2 s
    Then the gang is <outcome>

    Examples:
      | first | second | outcome             |
      | 100   | 7      | restarted elsewhere |
      | 0     | 0      | restarted elsewhere |
      | 90    | 70     | not restarted       |

  Scenario Outline: After a change of owner only a gang that has stalled is restarted
    The new owner first polls a gang that has run for long. Taking all its progress for
    that of the time since, it compares members polled at different moments, finds a
    healthy one far behind, and stops a gang shortly before its end.
    Given a fleet state with 4 workers of 4 accelerators
    And an urgent gang of 2 tasks of 4 accelerators runs for 3 s
    And a new owner first polls its members at 56 and 58 percent, after 8.7 and 9.68 s
    When they then show <first> and <second> percent after 9.7 s
    Then the gang is <outcome>

    Examples:
      | first | second | outcome       |
      | 88    | 60     | not restarted |
      | 56    | 60     | not restarted |

  Scenario: A gang that stalls over a change of owner is restarted elsewhere
    Given a fleet state with 4 workers of 4 accelerators
    And an urgent gang of 2 tasks of 4 accelerators runs for 1 s
    And a new owner first polls its members at 10 and 60 percent, after 1.2 and 1.2 s
    When they then show 10 and 100 percent after 2.2 s
    Then the gang is restarted elsewhere

  Scenario Outline: An urgent gang on a worker that leaves before its end
    The gang ends with the worker, and its lost member counts as running until its lease
    is over, seven seconds later. Its caller has two seconds to spare.
    Given a fleet state with <workers> workers of 4 accelerators
    And <kind> gang of 2 tasks of 4 accelerators runs for 3 s
    When its members show 33 and 33 percent after 1 s
    And its first worker announces that it leaves in <stays> s
    Then the gang is <outcome>

    Examples:
      | workers | kind           | stays | outcome             |
      | 4       | an urgent      | 1.9   | restarted elsewhere |
      | 4       | an urgent      | 2.1   | not restarted       |
      | 2       | an urgent      | 1.9   | not restarted       |
      | 4       | a low-priority | 1.9   | not restarted       |

  Scenario: Stalled low-priority work is not restarted while it can be in time
    Eight tasks on a worker that stalls for some seconds would all start over.
    Given a fleet state with 4 workers of 4 accelerators
    And a low-priority gang of 2 tasks of 4 accelerators runs for 8 s
    When its members show 100 and 0 percent after 2.2 s
    Then the gang is not restarted

  Scenario: A stalled gang is not restarted while there is no room elsewhere
    Given a fleet state with 2 workers of 4 accelerators
    And an urgent gang of 2 tasks of 4 accelerators runs for 1 s
    When its members show 100 and 7 percent after 2.2 s
    Then the gang is not restarted

  Scenario: Restarts of a stalled gang are bounded
    Given a fleet state with 4 workers of 4 accelerators
    And an urgent gang of 2 tasks of 4 accelerators runs for 1 s
    And it was restarted elsewhere twice
    When its members show 100 and 7 percent after 2.2 s
    Then the gang is not restarted
