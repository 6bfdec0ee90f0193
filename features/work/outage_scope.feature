Feature: Callers who are refused while the store is away are told when to return
  A caller's next attempt reaches another VM. Where only this VM is cut off or turned
  away, urgent work would be late by a second's wait for nothing; where the store is away
  for all, callers who return at once use up their attempts before it is back.

  Scenario Outline: A VM without a recent policy asks the owner and a seed
    The store may turn this VM away, or be away for all; its path to all may be cut, or
    other VMs be down or turned away as well.
    Given a VM that can't read the policy and knows owner and seed
    And the store <fault> this VM's reads
    And peer owner is <owner>
    And peer seed is <seed>
    When a caller submits a job
    Then it is refused as not run, to return after <delay> s

    Examples:
      | fault             | owner      | seed       | delay |
      | refuses           | served     | served     | 0     |
      | refuses           | not served | served     | 0     |
      | refuses           | absent     | served     | 0     |
      | leaves unanswered | served     | silent     | 0     |
      | refuses           | not served | not served | 1     |
      | leaves unanswered | not served | not served | 1     |
      | leaves unanswered | silent     | not served | 1     |
      | leaves unanswered | silent     | silent     | 0     |
      | refuses           | silent     | silent     | 1     |
      | leaves unanswered | absent     | silent     | 1     |

  Scenario Outline: A VM that has not read the policy for a time asks the others
    A VM that is not ready gets new connections only while under half of the VMs near it
    are ready. Guards against callers who are sent on at once, from one VM that refuses
    them to the next, until they have used up their attempts.
    Given a VM that can't read the policy and knows owner and s1 and s2 and s3
    And <age> s have passed
    And the store <fault> this VM's reads
    And peer owner is <owner>
    And peer s1 is <s1>
    And peer s2 is <s2>
    And peer s3 is <s3>
    When a caller submits a job
    Then it is refused as not run, to return after <delay> s

    Examples:
      | age | fault             | owner  | s1         | s2         | s3         | delay |
      | 1   | leaves unanswered | silent | silent     | silent     | silent     | 0     |
      | 8   | leaves unanswered | silent | silent     | silent     | silent     | 1     |
      | 1   | leaves unanswered | served | not served | not served | not served | 0     |
      | 8   | leaves unanswered | served | not served | not served | not served | 1     |
      | 8   | leaves unanswered | served | served     | not served | not served | 0     |
      | 8   | leaves unanswered | served | silent     | silent     | silent     | 0     |
      | 8   | refuses           | served | absent     | absent     | absent     | 0     |
      | 8   | refuses           | served | not served | not served | silent     | 1     |

  Scenario: A caller makes five attempts while most VMs have been silent for long
    Guards against attempts that are used up within a second or two, just before the VMs
    serve again.
    Given a VM that can't read the policy and knows owner and seed
    And 8 s have passed
    And the store leaves unanswered this VM's reads
    And peer owner is silent
    And peer seed is silent
    When the store answers again 3 s later, and a caller makes 5 attempts meanwhile
    Then one of its attempts is accepted

  Scenario: A VM that knows no other
    Given a VM that can't read the policy and knows no other
    When a caller submits a job
    Then it is refused as not run, to return after 1 s

  Scenario: A burst of refused callers costs one question
    Given a VM that can't read the policy and knows owner
    And peer owner is silent
    When 100 callers submit jobs at once
    Then peer owner was asked 1 times
    When 0.3 s pass and a caller submits a job
    Then peer owner was asked 2 times

  Scenario: The store comes back for others first
    Guards against an answer that outlives the state of the store.
    Given a VM that can't read the policy and knows owner
    And peer owner is not served
    When a caller submits a job
    And peer owner is served
    And 0.3 s pass and a caller submits a job
    Then it is refused as not run, to return after 0 s

  Scenario: An owner's record of an earlier version is read
    Then an owner's record without a peer address is still read as its own

  Scenario Outline: A VM answers by a read of the store that is made at that moment
    Guards against one that counts the store as present for seconds after it is gone,
    since its policy is recent.
    Given a VM that has read the policy <age> s ago
    And the store <fault> its reads now
    When another VM asks it whether the store answers
    Then it says <answer> within 0.2 s

    Examples:
      | age | fault             | answer |
      | 1   | refuses           | no     |
      | 1   | leaves unanswered | no     |
      | 1   | answers           | yes    |

  Scenario: A VM whose policy takes long to read says that the store answers
    Guards against a VM that serves callers and tells others that the store is away,
    because a large policy doesn't arrive within the time of an answer.
    Given a VM that has read the policy 1 s ago
    And the store answers its reads now
    And a read of the policy takes 0.5 s now
    When another VM asks it whether the store answers
    Then it says yes within 0.2 s

  Scenario: Many VMs ask one
    Guards against VMs that fill the link of the one that they ask with reads of the
    policy, until it can't serve either.
    Given a VM that has read the policy 1 s ago
    And the store answers its reads now
    When 30 other VMs ask it at once whether the store answers
    Then it says yes within 0.2 s
    And it has made 1 small read of the store and none of the policy

  Scenario: A VM that can't read the policy says that the store is away for it
    Guards against callers who are sent on to a VM that refuses them, because small
    reads are answered there.
    Given a VM that has read the policy 3 s ago
    And the store answers its reads now
    And a read of the policy takes 2 s now
    When another VM asks it whether the store answers
    Then it says no within 0.2 s

  Scenario: A VM that refuses callers closes their connections
    The balancer sends new connections to VMs that are ready; an open one stays with its
    VM. Guards against callers who are refused call after call while others serve.
    Given a VM that can't read the policy and knows owner
    And peer owner is served
    When a caller submits a job
    Then it is refused as not run, to return after 0 s
    And its connection is closed

  Scenario: A VM that is ready keeps callers' connections
    Given a VM that has read the policy 1 s ago
    And the store answers its reads now
    When a caller submits a job
    Then its connection stays open
