Feature: Callers who are refused while the store is away are told when to return
  A caller's next attempt reaches another VM. Where only this VM is cut off or turned
  away, urgent work would be late by a second's wait for nothing; where the store is away
  for all, callers who return at once use up their attempts before it is back.

  Scenario Outline: A VM without a recent policy asks the owner
    The store may turn this VM away, or be away for all; its path to both may be cut, or
    the owner's VM be down.
    Given a VM that can't read the policy and knows the owner at 10.1.0.19:8523
    And the store <fault> this VM's reads
    And the owner is <answer>
    When a caller submits a job
    Then it is refused as not run, to return after <delay> s

    Examples:
      | fault             | answer     | delay |
      | refuses           | served     | 0     |
      | leaves unanswered | served     | 0     |
      | refuses           | not served | 1     |
      | leaves unanswered | not served | 1     |
      | leaves unanswered | silent     | 0     |
      | refuses           | silent     | 1     |
      | leaves unanswered | absent     | 1     |

  Scenario: The owner itself has no one to ask
    Given a VM that can't read the policy and is the owner
    When a caller submits a job
    Then it is refused as not run, to return after 1 s
    And the owner was asked 0 times

  Scenario: A VM that has not read of an owner
    Given a VM that can't read the policy and knows no owner
    When a caller submits a job
    Then it is refused as not run, to return after 1 s

  Scenario: A burst of refused callers costs one question
    Given a VM that can't read the policy and knows the owner at 10.1.0.19:8523
    And the owner is silent
    When 100 callers submit jobs at once
    Then the owner was asked 1 times
    When 0.3 s pass and a caller submits a job
    Then the owner was asked 2 times

  Scenario: The store comes back for this VM only after an outage of all
    Guards against an answer that outlives the state of the owner.
    Given a VM that can't read the policy and knows the owner at 10.1.0.19:8523
    And the owner is not served
    When a caller submits a job
    And the owner is served
    And 0.3 s pass and a caller submits a job
    Then it is refused as not run, to return after 0 s

  Scenario: An owner's record of an earlier version is read
    Then an owner's record without a readiness address is still read as its own

  Scenario Outline: The owner answers by a read of the store that is made at that moment
    Guards against an owner that counts the store as present for seconds after it is
    gone, since its policy is recent.
    Given the owner has read the policy <age> s ago
    And the store <fault> its reads now
    When another VM asks it whether the store answers
    Then it says <answer> within 0.2 s

    Examples:
      | age | fault             | answer |
      | 1   | refuses           | no     |
      | 1   | leaves unanswered | no     |
      | 1   | answers           | yes    |
