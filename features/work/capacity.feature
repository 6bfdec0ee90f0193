Feature: A worker whose capacity shrinks and grows while it runs
  Guards against starting more on a worker than its capacity allows, where the worker
  does not refuse that itself.

  Background:
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And no worker refuses what does not fit
    And 3 processes of ours

  Scenario: Nothing is started beyond a capacity that has shrunk
    Guards against still using the first capacity that a worker announced.
    Given the tasks of e1 take 30 s
    When worker w1 has 2 accelerators from now on
    And 6 s pass
    And job e1 is handed in with steps
      | count | accelerators |
      | 16    | 1            |
    And 4 s pass
    Then 10 tasks of e1 run
    When worker w1 has 8 accelerators from now on
    And 2 s pass
    Then 16 tasks of e1 run
    And the fleet's ledger shows nothing wrong

  Scenario: A capacity shrinks while the store is down at the record of a start
    Guards against a start that was decided before an outage and is sent after it.
    Given the tasks of e2 take 30 s
    When the store goes down as soon as a start of e2 is recorded
    And job e2 is handed in with steps
      | count | accelerators |
      | 16    | 1            |
    And worker w1 has 0 accelerators from now on
    And 5.5 s pass
    And the store is back
    And 4 s pass
    Then 8 tasks of e2 run
    And the fleet's ledger shows nothing wrong

  Scenario: A capacity shrinks below what runs there
    Guards against counting the capacity of runs that are still stopping as free.
    Given the tasks of e3 take 6 s
    And the tasks of e4 take 2 s
    When job e3 is handed in with steps
      | count | accelerators |
      | 16    | 1            |
    And 1 s pass
    And worker w1 has 4 accelerators from now on
    And 1 s pass
    And job e4 is handed in to urgent by domes with steps
      | count | accelerators |
      | 8     | 1            |
    Then job e4 is shown as completed within 16 s
    And job e3 is shown as completed within 30 s
    And the fleet's ledger shows nothing wrong

  Scenario: An orphan is still running
    Guards against starting tasks beside an orphan that an earlier owner's job has left
    on a worker.
    When w1 and w2 run a task of 8 accelerators that no job has, and stop it in 1.5 s
    Given the tasks of e5 take 3 s
    When job e5 is handed in with steps
      | count | accelerators |
      | 2     | 8            |
    Then job e5 is shown as completed within 12 s
    And the fleet's ledger shows nothing wrong
