Feature: An engineer finds the cause from a failed request's id
  The engineer has only the logs of the processes.

  Scenario: A job was stopped for another organisation's guarantee
    A caller complains that a patient job took long. Its id leads to the stop, and the
    stop to the job that gained by it.
    Given the logs of 3 processes on which a guaranteed job stopped a patient one
    When the engineer asks for the patient job's id
    Then the story goes: job accepted, job admitted, run decided, run preempted
    And the story names the guaranteed job as the one that gained

  Scenario: A task was started twice
    A client asks why a task ran a second time. Its name leads to each run, to the proof
    by which the first was taken as gone, and to what was believed of its worker then.
    Given the logs of 3 processes on which a worker crashed under a task
    When the engineer asks for that task
    Then the task's story goes: job admitted, run decided, run started, worker life over, run gone, run decided, run started, run ended
    And the story names the proof, the fence and the worker's clock
    And the story leaves out what is of other tasks and workers

  Scenario: An id that no log knows
    Given the logs of 3 processes on which a guaranteed job stopped a patient one
    When the engineer asks for the id ffffffffffffffff
    Then the engineer is told to give the logs of all processes

  Scenario: A flood of lines is bounded and counted
    A fault that repeats thousands of times a second would take the processor from
    callers. What is left out is counted, so that nobody takes silence for health.
    When 5000 lines are logged within a second and one in the next
    Then 400 of them are written
    And the next line says that 4600 were dropped
    And the metrics of the process count 4600 dropped lines of that event

  Scenario: Lines about runs are written however many there are about workers
    Guards against lines about workers that displace those that explain an outcome.
    When 5000 lines about workers and then 500 about runs are logged within a second
    Then all of those about runs are written

  Scenario: A large fleet is taken over with many jobs open
    Guards against a takeover that can't be explained afterwards, its lines dropped.
    Given the log of 2 processes that run 100 jobs of 10 tasks on 270 workers
    When their owner is killed, 30 urgent jobs come and the other one takes over
    Then each decision, start and end of these jobs is logged
    And no line was dropped
    And the takeover's lines about workers are fewer than 10

  Scenario: Logs of a large fleet are searched within seconds
    Guards against an on-call engineer who waits for the story of one task.
    Given the logs of 20 processes with 10000 lines each
    Then the story of a task in them is told within 5 s
