Feature: Room that is being freed is for the work for which it is freed
  Work is stopped so that a gang can start. Its workers end what they run one after
  another, some of them late. What is free by then goes to whoever asks first, or is
  waited for without end: the gang's caller gets nothing, and more work is stopped.

  Background: A gang for which room is freed
    Given a fleet of decisions with 2 workers of 4 accelerators
    And worker 0 holds 4 checkpointed patient tasks, and worker 1 others that take more
    When an urgent gang of 4 accelerators in one task waits
    Then the 4 tasks on worker 0 are stopped for it

  Scenario: Who comes later does not take what was freed for a gang
    When 1 of the stopped tasks has ended
    And an urgent task of one accelerator that is more pressing waits 0.2 s later
    Then the task is not started on worker 0
    And nothing more is stopped for the gang

  Scenario: The gang starts once all of its room is free
    When 4 of the stopped tasks have ended
    And an urgent task of one accelerator that is more pressing waits 0.2 s later
    Then the gang is started on worker 0

  Scenario: Guaranteed work takes what was freed for others
    Given 4 accelerators are guaranteed to post alone
    When 1 of the stopped tasks has ended
    And a guaranteed task of one accelerator waits 0.2 s later
    Then the task is started on worker 0

  Scenario: Guaranteed work leaves what was freed for others while there is other room
    Guards against work that is stopped again for a gang whose room went to a job that
    could have started elsewhere.
    Given 4 accelerators are guaranteed to post alone
    When 1 of the stopped tasks has ended
    And 2 tasks on worker 1 have ended
    And a guaranteed task of one accelerator waits 0.2 s later
    Then the task is started on worker 1
    And nothing more is stopped for the gang

  Scenario: Room is held no longer than its bound
    When 1 of the stopped tasks has ended
    And an urgent task of one accelerator that is more pressing waits 3.5 s later
    Then the task is started on worker 0

  Scenario: A worker that leaves its stops unanswered is not waited for
    When none of the stopped tasks has ended 1.2 s later
    Then the tasks on worker 1 are stopped for the gang, as the exception

  Scenario: Nothing is stopped for a gang again while its stops may yet be answered
    When none of the stopped tasks has ended 0.4 s later
    Then nothing more is stopped for the gang

  Scenario: Work is stopped rather where stops were answered
    The cheapest work stands on a worker that left its stops unanswered.
    When the gang is cancelled
    And none of the stopped tasks has ended 1.2 s later
    And all of the stopped tasks have ended, and others run as they did
    And an urgent task of one accelerator waits 0.5 s later
    Then what is stopped for it is on worker 1

  Scenario: Room for all tasks of an urgent step is freed at once
    Guards against urgent tasks that begin one after another, each once work was
    stopped for it.
    When the gang is cancelled
    And all of the stopped tasks have ended, and others run as they did
    And an urgent step of 4 tasks of one accelerator waits 0.5 s later
    Then for each of its tasks one other is stopped
