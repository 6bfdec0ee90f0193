Feature: Room that is being freed is held for the work for which it is freed
  Work is stopped so that a gang can start. Its workers end what they run one after
  another, some of them late. If the room freed so far went to the next unit, or a late
  stop were waited for without bound, the gang would be too late for its caller, and
  more work would be stopped.

  Background: A gang for which room is freed
    Given a fleet state with 2 workers of 4 accelerators
    And worker 0 holds 4 checkpointed low-priority tasks, and worker 1 others that take more
    When an urgent gang of 4 accelerators in one task waits
    Then the 4 tasks on worker 0 are stopped for it

  Scenario: Later work does not take room that was freed for a gang
    When 1 of the stopped tasks has ended
    And a more urgent task of one accelerator waits 0.2 s later
    Then the task is not started on worker 0
    And nothing more is stopped for the gang

  Scenario: The gang starts once all of its room is free
    When 4 of the stopped tasks have ended
    And a more urgent task of one accelerator waits 0.2 s later
    Then the gang is started on worker 0

  Scenario: Guaranteed work takes room that was freed for others
    Given 4 accelerators are guaranteed to post alone
    When 1 of the stopped tasks has ended
    And a guaranteed task of one accelerator waits 0.2 s later
    Then the task is started on worker 0

  Scenario: Guaranteed work uses other free room before room that was freed for others
    Guards against stopping work again for a gang whose room went to a job that could
    have started elsewhere.
    Given 4 accelerators are guaranteed to post alone
    When 1 of the stopped tasks has ended
    And 2 tasks on worker 1 have ended
    And a guaranteed task of one accelerator waits 0.2 s later
    Then the task is started on worker 1
    And nothing more is stopped for the gang

  Scenario: Room is held only for a bounded time
    When 1 of the stopped tasks has ended
    And a more urgent task of one accelerator waits 3.5 s later
    Then the task is started on worker 0

  Scenario: A worker that leaves its stops unanswered is not waited for
    When none of the stopped tasks has ended 1.2 s later
    Then the tasks on worker 1 are stopped for the gang, marked as stopped again

  Scenario: A stop that takes long by the deployment's settings is not late
    Guards against a second round of stops for a gang whose first stops are on their
    way, on workers that take 0.9 s for a stop.
    Given a worker takes up to 0.9 s for a stop
    When none of the stopped tasks has ended 1.3 s later
    Then nothing more is stopped for the gang

  Scenario: A stop that takes longer than the deployment's settings say is late
    Given a worker takes up to 0.9 s for a stop
    When none of the stopped tasks has ended 1.6 s later
    Then the tasks on worker 1 are stopped for the gang, marked as stopped again

  Scenario: Nothing more is stopped for a gang while its stops may still be answered
    When none of the stopped tasks has ended 0.4 s later
    Then nothing more is stopped for the gang

  Scenario: Work is preferably stopped where stops were answered
    The cheapest work runs on a worker that left its stops unanswered.
    When the gang is cancelled
    And none of the stopped tasks has ended 1.2 s later
    And all of the stopped tasks have ended, and others run in their place
    And an urgent task of one accelerator waits 0.5 s later
    Then what is stopped for it is on worker 1

  Scenario: Room for all tasks of an urgent step is freed at once
    Guards against urgent tasks that start one after another, each after work was
    stopped for it.
    When the gang is cancelled
    And all of the stopped tasks have ended, and others run in their place
    And an urgent step of 4 tasks of one accelerator waits 0.5 s later
    Then one other task is stopped for each of its tasks
