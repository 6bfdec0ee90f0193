Feature: Units that can't start keep no others from starting
  Guards against a bound on the work of one pass that the same units use up in each.

  Scenario: Hundreds of units wait for a kind of worker that is lost
    Guards against never examining what ranks behind them, while other workers are idle.
    Given 8 workers of kind a
    And 240 jobs of priority 1 that need kind b
    And 10 jobs of priority 2 that need any kind
    When a pass is made
    Then each job that needs any kind is started

  Scenario: Hundreds of units wait for a kind of worker that is full
    Guards against the same where the units could run, but not now.
    Given 8 workers of kind a
    And 1 worker of kind b, full of tasks that last
    And 240 jobs of priority 1 that need kind b
    And 10 jobs of priority 2 that need any kind
    When a pass is made
    Then each job that needs any kind is started

  Scenario: Hundreds of gangs wait for more room than is free
    Guards against trying the same units behind the bound in each pass.
    Given 8 workers of kind a
    And a task that lasts on worker w0
    And 400 gangs of priority 1, each of 8 tasks that fill a worker
    And 10 jobs of priority 2 that need any kind
    When 9 passes are made
    Then each job that needs any kind is started

  Scenario: Gangs that fit nowhere wait before one that does
    Guards against counting units without any room to reserve as reservations.
    Given 4 workers of kind a
    And each worker has a task of 1 accelerator with 5 s left
    And 6 gangs of priority 1, each of 5 tasks that fill a worker
    And a gang of priority 1, of 4 tasks that fill a worker
    When a pass is made
    Then room is reserved for the gang of 4 tasks

  Scenario: A unit behind the bound takes no room of one in front of it
    Guards against starting work in room that is reserved for a gang.
    Given 4 workers of kind a
    And each worker has a task of 1 accelerator with 5 s left
    And a gang of priority 1, of 4 tasks that fill a worker
    And 1 worker of kind b, full of tasks that last
    And 240 jobs of priority 1 that need kind b
    And 10 jobs of priority 2 that nearly fill a worker
    When 3 passes are made
    Then none of the jobs that nearly fill a worker is started
