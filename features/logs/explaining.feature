Feature: An engineer finds the cause of a problem from an id and the logs
  Nothing but the logs of the processes is available.

  Scenario: A job was stopped for another organisation's guarantee
    A caller reports that a low-priority job took long. The timeline of its id shows the
    preemption and the job that got the room.
    Given the logs of 3 processes on which a guaranteed job stopped a low-priority one
    When the engineer asks for the low-priority job's id
    Then the timeline has in order: job accepted, job admitted, run decided, run preempted
    And the timeline shows the guaranteed job as the one that gets the room

  Scenario: A task was started twice
    A client asks why a task ran a second time. The timeline of its name shows each run,
    the proof that ended the first one, and the owner's view of its worker at that time.
    Given the logs of 3 processes on which a worker crashed under a task
    When the engineer asks for that task
    Then the task's timeline has in order: job admitted, run decided, run started, worker incarnation over, run gone, run decided, run started, run ended
    And the timeline shows the proof, the fence and the worker's clock
    And the timeline omits other tasks and their workers

  Scenario: An id that is in no log
    Given the logs of 3 processes on which a guaranteed job stopped a low-priority one
    When the engineer asks for the id ffffffffffffffff
    Then the engineer is told to give the logs of all processes

  Scenario: Urgent jobs start late, and the logs show on the way to what
    Callers of urgent work wait, and a table tells whether that is for the store, the
    owner, a decision or a worker.
    Given the logs of 3 processes in which an urgent gang waits 0.4 s for its record
    When the engineer asks where urgent jobs lose time
    Then the table names record as the longest span of that gang
    And it shows these spans of it
      | accept | notice | decide | record | order | total |
      | 0.010  | 0.020  | 0.030  | 0.400  | 0.150 | 0.610 |

  Scenario: No urgent job is in the logs
    Given the logs of 3 processes on which a worker crashed under a task
    When the engineer asks where urgent jobs lose time
    Then the engineer is told to give the logs of all processes

  Scenario: Log lines are rate-limited and dropped ones are counted
    Guards against a fault that logs thousands of lines a second and takes the processor
    from callers. Dropped lines are counted, so that missing lines do not look like
    health.
    When 5000 lines are logged within a second and one in the next
    Then 400 of them are written
    And the next line reports 4600 dropped lines
    And the metrics of the process count 4600 dropped lines of that event

  Scenario: Lines about runs are written regardless of the number about workers
    Guards against lines about workers that displace those that explain an outcome.
    When 5000 lines about workers and then 500 about runs are logged within a second
    Then all of those about runs are written

  Scenario: A large fleet is taken over with many jobs open
    Guards against a takeover that can't be explained because its lines were dropped.
    Given the log of 2 processes that run 100 jobs of 10 tasks on 270 workers
    When their owner is killed, 30 urgent jobs come and the other one takes over
    Then each decision, start and end of these jobs is logged
    And no line was dropped
    And the takeover's lines about workers are fewer than 10

  Scenario: Logs of a large fleet are searched within seconds
    Guards against an on-call engineer who waits for the timeline of one task.
    Given the logs of 20 processes with 10000 lines each
    Then the timeline of a task in them is collected within 5 s
