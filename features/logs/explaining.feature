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
