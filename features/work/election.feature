Feature: Waiting for the ownership
  Every VM but one waits for the owner's key to go, for as long as the owner serves.

  Background:
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And 6 processes of ours

  Scenario: The store has dropped the history since the owner began
    Guards against a watch that is refused at once, again and again: every VM asks the
    store several times a second for as long as the owner serves.
    When the store has dropped the history of the owner's key
    And 10 s pass
    Then the waiting processes made at most 1.1 calls a second each for the owner's key

  Scenario: A vacancy is noticed at once after the store has dropped its history
    Guards against VMs that learn of a vacancy only at their next poll.
    When the store has dropped the history of the owner's key
    And 3.1 s pass
    And the scheduling process hands over
    Then another process schedules within 0.1 s
