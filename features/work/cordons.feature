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

  Scenario Outline: Nothing starts in a closed failure domain, whatever fails as it closes
    Work waits for every worker when operators close a failure domain, and the owner
    can't read, write or decide as usual. A start that was decided before, or by an old
    list, would be on a worker that operators are about to remove.
    Given the tasks of c5 take 2 s
    When job c5 is handed in with steps
      | count | accelerators |
      | 12    | 8            |
    And 1 s pass
    And <fault>
    And operators empty failure domain perth
    And <fault after it>
    And 5 s pass
    And the starts on worker w2 are counted
    And 7 s pass
    Then no more was started on worker w2
    And 12 task of c5 was started in 40 s

    Examples:
      | fault                                             | fault after it                                               |
      | 0 s pass                                          | the scheduling process dies                                  |
      | the store answers 0.24 s late from now on         | 0 s pass                                                     |
      | the store answers 0.24 s late from now on         | the scheduling process dies                                  |
      | the answers to the next 20 writes are lost        | 0 s pass                                                     |
      | 0 s pass                                          | the store is down for 3 s                                    |
      | 0 s pass                                          | operators take failure domain perth back and close it again  |

  Scenario: A gang that was decided before its failure domain closed starts whole or later
    Its record is on its way through a slow store when operators close the failure
    domain of one of its members.
    Given the tasks of c6 take 2 s
    When the store answers 0.24 s late from now on
    And job c6 is handed in with steps
      | count | accelerators | gang |
      | 2     | 8            | yes  |
    And 0.3 s pass
    And operators empty failure domain perth
    And 5 s pass
    And the starts on worker w2 are counted
    And 5 s pass
    Then no more was started on worker w2
    When operators take failure domain perth back
    Then job c6 is shown as completed within 20 s

  Scenario: A cordon that names no failure domain leaves the others in force
    Given what the processes log is kept
    When operators empty failure domain nowhere
    And operators empty failure domain perth
    And 2 s pass
    And job c7 is handed in with steps
      | count | accelerators |
      | 4     | 8            |
    Then 4 task of c7 was started in 25 s
    And none of c7 was started on worker w2
    And the log warns of the unknown failure domain nowhere
