Feature: A poison task is given up, and the tasks beside it are not
  Guards against a task that crashes one worker after another, and against failing jobs
  whose tasks only ran on the same workers.

  Background:
    Given a fleet of 6 workers with 8 accelerators in 2 racks
    And crashed workers restart after 3.5 s
    And 3 processes of ours

  Scenario: A task that crashes each worker that starts it is given up
    Guards against restarting it without bound, since no run of it is reported as failed.
    Given task 0 of c1 crashes its worker after 0.01 s
    When job c1 is handed in with steps
      | count | accelerators |
      | 2     | 8            |
    Then job c1 is shown as failed within 16 s
    When 10 s pass
    Then at most 3 workers have crashed
    And the fleet's ledger shows nothing wrong

  Scenario: The owner changes between the crashes of one task
    Guards against a count of crashes that starts at zero with each owner.
    Given task 0 of c2 crashes its worker after 0.01 s
    When job c2 is handed in with steps
      | count | accelerators |
      | 1     | 1            |
    And 1 s pass
    And the scheduling process dies
    And 4 s pass
    And all processes die and are back after 0.2 s
    Then job c2 is shown as failed within 25 s
    When 10 s pass
    Then at most 3 workers have crashed
    And the fleet's ledger shows nothing wrong

  Scenario: The crashed workers answer nothing until they restart
    Guards against taking workers that crash with their VM for partitioned workers.
    Given crashed workers restart after 9 s, and answer nothing until then
    And task 0 of c3 crashes its worker after 0.01 s
    When job c3 is handed in with steps
      | count | accelerators |
      | 1     | 8            |
    Then job c3 is shown as failed within 50 s
    When 20 s pass
    Then at most 5 workers have crashed
    And the fleet's ledger shows nothing wrong

  Scenario: The crashed workers restart long after their lease
    Guards against waiting for proof of a crash that comes after three more starts.
    Given crashed workers restart after 30 s
    And task 0 of c4 crashes its worker after 0.01 s
    When job c4 is handed in with steps
      | count | accelerators |
      | 1     | 8            |
    Then job c4 is shown as failed within 30 s
    And at most 3 workers have crashed
    And the fleet's ledger shows nothing wrong

  Scenario: The start that crashes a worker is never answered
    Guards against counting only runs that a worker has confirmed.
    Given task 0 of c5 crashes its worker after 0 s
    And the answers to the next 1 orders to every worker are lost
    When job c5 is handed in with steps
      | count | accelerators |
      | 1     | 1            |
    Then job c5 is shown as failed within 20 s
    And at most 4 workers have crashed
    And the fleet's ledger shows nothing wrong

  Scenario: A task crashes its worker some time after its start
    Guards against counting only crashes right after a start.
    Given the tasks of c6 take 8 s
    And task 0 of c6 crashes its worker after 3 s
    When job c6 is handed in with steps
      | count | accelerators |
      | 1     | 1            |
    Then job c6 is shown as failed within 40 s
    And at most 4 workers have crashed
    And the fleet's ledger shows nothing wrong

  Scenario: One member of a gang crashes its worker
    Guards against counting the gang's ends instead of its member's crashes.
    Given task 2 of c7 crashes its worker after 0.01 s
    When job c7 is handed in with steps
      | count | accelerators | gang |
      | 4     | 8            | yes  |
    Then job c7 is shown as failed within 40 s
    And at most 4 workers have crashed
    And the fleet's ledger shows nothing wrong

  Scenario: Tasks of other jobs run beside a poison task
    Guards against failing jobs whose tasks only ran on the same workers.
    Given the tasks of c8 take 6 s
    And task 0 of c9 crashes its worker after 0.01 s
    When job c8 is handed in with steps
      | count | accelerators |
      | 30    | 1            |
    And job c9 is handed in with steps
      | count | accelerators |
      | 1     | 1            |
    Then job c9 is shown as failed within 30 s
    And job c8 is shown as completed within 30 s
    And at most 4 workers have crashed
    And the fleet's ledger shows nothing wrong

  Scenario: Three workers crash by themselves under the same task
    Guards against giving up a task that crashes nothing.
    Given the tasks of ca take 6 s
    When job ca is handed in with steps
      | count | accelerators |
      | 1     | 1            |
    And the worker that runs ca crashes 3 times, 2 s after its start
    Then job ca is shown as completed within 20 s
    And the fleet's ledger shows nothing wrong

  Scenario: Workers crash again and again under a task that lasts
    Guards against failing a job whose task is to be restarted however it ends.
    Given the tasks of cg last for ever
    When job cg of a task that lasts is handed in
    And the worker that runs cg crashes 6 times, 2 s after its start
    Then a task of cg runs within 10 s
    And job cg is shown as running within 1 s

  Scenario: No worker is ever empty for a suspected task
    Guards against waiting for a worker of its own while there is room beside others.
    Given the tasks of cb take 60 s
    And the tasks of cc take 6 s
    When job cb is handed in with steps
      | count | accelerators | most per worker |
      | 6     | 1            | 1               |
    And job cc is handed in with steps
      | count | accelerators |
      | 1     | 1            |
    And the worker that runs cc crashes 2 times, 1 s after its start
    Then a task of cc runs within 3 s
    And job cc is shown as completed within 10 s

  Scenario: A worker is only partitioned
    Guards against counting an expired lease as a crash.
    Given the tasks of cd take 30 s
    When job cd is handed in with steps
      | count | accelerators |
      | 1     | 1            |
    And the worker that runs cd is partitioned for 12 s, 4 times
    Then job cd is shown as completed within 50 s
    And the fleet's ledger shows nothing wrong

  Scenario Outline: Days with tasks and workers that crash, and owners that change
    Guards against giving up the wrong jobs, or none, in any order of detected crashes.
    When a day of crashes is drawn with seed <seed>
    Then every job of that day ended as expected

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |

  Scenario: A task is to start on a worker that has just crashed
    Guards against choosing the same worker again and again until it counts as silent.
    Given crashed workers restart after 9 s
    And the tasks of ce take 2 s
    When worker w1 crashes by itself
    And job ce is handed in with steps
      | count | accelerators |
      | 6     | 8            |
    And 1.5 s pass
    Then no task of ce has had more than 2 runs
    And job ce is shown as completed within 12 s
    And the fleet's ledger shows nothing wrong

  Scenario: A task waits for a worker of its own while a task of its step need not
    Guards against treating the tasks of a step as alike, so that all of them wait.
    Given a fleet state with 2 workers in use, and 2 tasks of a step with 2 and 1 crashes
    When a pass is planned
    Then only the task with 1 crash is started

  Scenario: A silent worker's crash is counted when another incarnation answers
    Guards against losing a crash because its worker's own entry is listed again before
    another incarnation answers at the address.
    Given a fleet state with a worker that fell silent with a task of cf on it
    When the same incarnation is listed again
    Then no crash of cf is counted
    When another incarnation answers at its address
    Then 1 crash of cf is counted

  Scenario: A silent worker answers again
    Guards against counting a partition as a crash when the worker is replaced later.
    Given a fleet state with a worker that fell silent with a task of cf on it
    When the same incarnation answers
    And another incarnation answers at its address
    Then no crash of cf is counted

  Scenario: Workers crash while the record of a start is on its way
    Guards against failing a job of which nothing has been sent to any worker.
    Given crashed workers restart after 0.2 s
    And the next record of ch is stored, and not answered for 3 s
    When job ch is handed in with steps
      | count | accelerators |
      | 1     | 8            |
    And the workers for ch crash 0.05 s after its next 2 decisions
    Then job ch is shown as completed within 20 s
    And at most 2 workers have crashed
    And the fleet's ledger shows nothing wrong

  Scenario Outline: A worker crashes with a task on it
    Guards against counting against a task what it can't have caused, and against
    counting nothing against a task that has not answered yet.
    Given a fleet state with a task whose start <start>, beside <beside>
    When its worker stops answering 0.2 s later and crashes
    Then <count> crashes are counted, <alone> of them with the task alone

    Examples:
      | start                           | beside                       | count | alone |
      | was not sent                    | nothing                      | 0     | 0     |
      | was accepted                    | nothing                      | 1     | 1     |
      | was accepted                    | a task that was not sent     | 1     | 1     |
      | was accepted                    | a task that runs             | 1     | 0     |
      | broke the connection            | nothing                      | 1     | 1     |
      | went unanswered                 | nothing                      | 1     | 0     |
      | was recorded by a former owner  | nothing                      | 1     | 0     |

  Scenario: Workers crash under a task that may never have been sent
    Guards against failing a job for the runs that former owners recorded, of which
    none may have reached a worker.
    Given a fleet state with a task that former owners recorded on 5 workers that crashed
    Then its job is not given up
    When its next run is accepted, and its worker crashes at once
    Then its job is given up

  Scenario Outline: A run whose record is late
    Guards against counting the wait for its record as time that it has run.
    Given a task that was decided 10 s ago, and <sent>
    Then it counts as having run for <seconds> s
    And its unit is <aged>

    Examples:
      | sent              | seconds | aged     |
      | has not been sent | 0       | not aged |
      | was sent 1 s ago  | 1       | not aged |
      | was sent 8 s ago  | 8       | aged     |
