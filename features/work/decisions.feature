Feature: One pass keeps every bound, whatever waits
  Each property is tried on drawn fleets and jobs; the seeds are fixed.

  Scenario: No plan breaks a bound of a worker or a step
    Then a drawn plan keeps to room, labels, pools, spreading and trust

  Scenario: A gang is placed whole or not at all
    Then a drawn plan gives each unit a worker for every member

  Scenario: Guaranteed work is never stopped, and nothing is stopped for nothing
    Then a drawn plan stops only what it may, and then the gainer has its room

  Scenario: With an empty fleet whatever fits is started
    Then on an empty fleet a drawn unit that could ever run is started

  Scenario: Patient work does not keep a gang from starting
    Small patient tasks take every accelerator as it becomes free. Without room kept
    for it, a gang that needs two whole workers never finds them empty.
    Given a fleet of decisions with 2 workers of 4 accelerators
    When tasks of one accelerator arrive all the time and a gang of 2 whole workers once
    Then the gang starts within 12 s

  Scenario: Urgent work takes the workers that are known to be fast
    A third of the workers takes 1.3 times as long; an urgent job there is late
    though it started at once.
    Given a fleet of decisions with 4 workers of 4 accelerators
    And worker 0 has taken 1.4 times as long as the others, 4 times
    When an urgent task of one accelerator is placed
    Then it is not placed on worker 0

  Scenario: A worker that fails the tasks of two jobs is left out for a while
    Given trust in 6 workers
    When two jobs fail on worker 0
    Then worker 0 gets no work for 6 s
    When something ends well on worker 0 and one job fails there
    Then worker 0 goes on getting work

  Scenario: The better of estimate and experience is used
    Given callers whose estimates are off by a factor of three
    When 10 runs of 4 s are seen
    Then a run is expected to take about 4 s

  Scenario: Work that is late goes behind work that can be in time
    Given two waiting jobs of one queue, one of them late
    Then the one that can be in time goes first

  Scenario: Queues' priorities go before slack
    Given a waiting job of each priority, the most patient with the least slack
    Then they go in the order of their queues' priorities

  Scenario: Nothing is stopped for a gang that its bound on one worker keeps out
    Found by the drawn plans. One task a worker was allowed, room was made for four
    tasks on three workers, and a running gang was stopped for one that could not start.
    Given a fleet of decisions with 3 workers of 8 accelerators
    And a checkpointed gang of 4 tasks of 4 accelerators runs
    When an urgent gang of 4 tasks of 4 accelerators with at most 1 on a worker waits
    Then nothing is stopped

  Scenario: Nothing is stopped for work whose room is kept for work ahead of it
    Found by the drawn plans. Room was kept for a guaranteed gang in what was free,
    not in what was being freed: a task was stopped for one that then could not start.
    Given a fleet of decisions with 1 workers of 4 accelerators
    And domes and post are guaranteed 8 accelerators each
    And 2 urgent tasks of domes and 2 patient tasks run
    When a gang of 3 accelerators and 4 tasks of 1 wait, all urgent and of post
    Then what is stopped makes room for something that starts

  Scenario: A worker on which a run fails at once is left out after the first
    It fails all that it starts while it looks well. A job with two attempts would
    lose both of them there, or its second one on another such worker.
    Given trust in 6 workers
    When a job fails 0.04 s after it was started on worker 0
    Then worker 0 gets no work for 3 s

  Scenario: A worker on which one job fails partway goes on getting work
    Given trust in 6 workers
    When a job fails 2.0 s after it was started on worker 0
    Then worker 0 goes on getting work

  Scenario: Work with checkpoints is taken off a worker that leaves in time
    A worker says that it leaves in 2 s while a run needs 6 s more. Left there, the
    run would begin anew elsewhere; stopped too soon, it would lose a second of work.
    Given a fleet of decisions with 2 workers of 8 accelerators
    And a checkpointed task of 8 s runs on worker 0, and one without checkpoints
    When worker 0 says that it leaves in 2 s
    Then nothing is taken off it at once
    And after 1.2 s only the checkpointed task is

  Scenario Outline: A booking beside a member that stands still is started elsewhere
    One task of a gang makes no progress, or a small part of that of its fellow, while
    its worker answers well. The whole gang waits for it, and its caller gets nothing
    though other workers are free.
    Given a fleet of decisions with 4 workers of 4 accelerators
    And an urgent gang of 2 tasks of 4 accelerators runs for 1 s
    When its members show <first> and <second> percent after 2.2 s
    Then the gang is <outcome>

    Examples:
      | first | second | outcome           |
      | 100   | 7      | started elsewhere |
      | 0     | 0      | started elsewhere |
      | 90    | 70     | left alone        |

  Scenario: Patient work that stands still is left alone while it can be in time
    Eight tasks on a worker that stands still for some seconds would all begin anew.
    Given a fleet of decisions with 4 workers of 4 accelerators
    And a patient gang of 2 tasks of 4 accelerators runs for 8 s
    When its members show 100 and 0 percent after 2.2 s
    Then the gang is left alone

  Scenario: A gang that stands still stays where it is while nothing else has room
    Given a fleet of decisions with 2 workers of 4 accelerators
    And an urgent gang of 2 tasks of 4 accelerators runs for 1 s
    When its members show 100 and 7 percent after 2.2 s
    Then the gang is left alone

  Scenario: A gang is not moved without end
    Given a fleet of decisions with 4 workers of 4 accelerators
    And an urgent gang of 2 tasks of 4 accelerators runs for 1 s
    And it was moved twice
    When its members show 100 and 7 percent after 2.2 s
    Then the gang is left alone
