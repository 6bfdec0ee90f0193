Feature: Operators empty a failure domain
  Operators are about to work on a hall, and ask that no new work be sent to the workers
  there until they withdraw that.

  Background:
    Given a fleet of 2 workers with 8 accelerators in 2 racks
    And worker w2 is in failure domain perth
    And 2 processes of ours

  Scenario: A failure domain that is being emptied gets no new work
    Operators empty a failure domain while work waits. If more of it were started there,
    it would be cut off with the hall's power, and an urgent frame would come late.
    When operators empty failure domain perth
    And 2 s pass
    And job c1 is handed in with steps
      | count | accelerators |
      | 4     | 8            |
    Then 4 task of c1 was started in 25 s
    And none of c1 was started on worker w2

  Scenario: What runs in a failure domain that is being emptied goes on
    Given the tasks of c2 take 6 s
    When job c2 is handed in with steps
      | count | accelerators |
      | 2     | 8            |
    And 1 s pass
    And operators empty failure domain perth
    Then job c2 is shown as completed within 8 s
    And 2 task of c2 was started in 1 s

  Scenario: The next owner empties the failure domain as well
    When operators empty failure domain perth
    And 2 s pass
    And the scheduling process dies
    And job c3 is handed in with steps
      | count | accelerators |
      | 3     | 8            |
    Then 3 task of c3 was started in 25 s
    And none of c3 was started on worker w2

  Scenario: A failure domain is taken back
    When operators empty failure domain perth
    And 2 s pass
    And operators take failure domain perth back
    And 2 s pass
    And job c4 is handed in with steps
      | count | accelerators |
      | 2     | 8            |
    Then 2 task of c4 was started in 1 s
