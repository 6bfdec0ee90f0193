Feature: Waiting for the ownership
  Every VM but one watches for the owner's key to go, for as long as the owner serves.

  Background:
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And 6 processes of ours

  Scenario: The store has dropped the history since the owner began
    Guards against a watch that is refused at once, again and again: every VM would call
    the store several times a second for as long as the owner serves.
    When the store has dropped the history of the owner's key
    And 10 s pass
    Then the waiting processes made at most 1.1 calls a second each for the owner's key

  Scenario: A vacancy is noticed at once after the store has dropped its history
    Guards against VMs that notice a vacancy only at their next poll.
    When the store has dropped the history of the owner's key
    And 3.1 s pass
    And the scheduling process hands over
    Then another process schedules within 0.1 s

  Scenario Outline: Renewals are answered late, or not
    Guards against an owner that may no longer act while the store still has it as the
    owner.
    When the store <does> for 10 s
    Then the same process may give orders all that time
    And it doubted the store for at most <doubtful> of that time

    Examples:
      | doubtful | does                                       |
      | 0.01     | takes 0.6 s longer for each call           |
      | 0.01     | loses the answer to each third renewal     |

  Scenario Outline: Owners that go are replaced in time
    Guards against urgent work that waits for the next owner.
    Given <workers> more workers
    When <count> owners in turn die, leave, freeze, are cut off or refused
    Then no absence lasted more than 1.9 s

    Examples:
      | workers | count |
      | 20      | 50    |
      | 266     | 10    |
