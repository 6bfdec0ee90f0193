Feature: Callers get their answer before their deadline
  An answer that comes after the caller has left is lost: a refusal without its
  Retry-After, an acceptance that the caller doesn't know of.

  Scenario Outline: A refused caller has a short deadline
    Guards against a refusal that waits for the answers of other VMs after its caller
    has left.
    Given a VM that can't read the policy and knows owner and seed
    And peer owner is silent
    And peer seed is <seed>
    When a caller with a deadline of <deadline> s submits a job
    Then it is refused as not run, to return after <delay> s
    And it was answered within its deadline

    Examples:
      | seed   | deadline | delay |
      | silent | 0.2      | 1     |
      | silent | 0.06     | 1     |
      | served | 0.2      | 1     |
      | served | 0.5      | 0     |

  Scenario: The store refuses a query late
    Guards against asking other VMs for longer than is left of the caller's time.
    Given a VM that has read the policy 0 s ago
    And it knows owner, which is silent
    And the store refuses its other reads after 0.75 s
    When a caller with a deadline of 1 s asks for the state of a job
    Then it is refused as not run, to return after 1 s
    And it was answered within its deadline

  Scenario: A caller without time leaves the answers of other VMs to the next
    Guards against asking again and again, and never learning the answer.
    Given a VM that can't read the policy and knows owner and seed
    And peer owner is silent
    And peer seed is served
    When a caller with a deadline of 0.2 s submits a job
    And 0.2 s pass and a caller with a deadline of 0.2 s submits a job
    Then it is refused as not run, to return after 0 s
    And it was answered within its deadline
    And peer seed was asked 1 times

  Scenario Outline: The log shows how long a refused caller would have waited
    Guards against a refusal that nobody can tell from one that came too late.
    Given a VM that can't read the policy and knows owner
    And peer owner is not served
    When a caller with the deadline "<header>" submits a job
    Then the log of its refusal has the deadline <deadline> s

    Examples:
      | header | deadline |
      | 800    | 0.8      |
      | 20000  | 20       |
      |        | 3        |
      | soon   | 3        |
      | nan    | 3        |

  Scenario: A job is submitted while the policy takes long to read
    After a failed call the store is checked before a job is written. Guards against
    refusing jobs because a large policy doesn't arrive within that check, and against
    a read of the policy for each of these callers.
    Given a VM that has read the policy 0.2 s ago
    And the store answers its reads now
    And a read of the policy takes 0.7 s now
    And a call to the store has just failed
    When 20 callers with a deadline of 1 s submit jobs at once
    Then they are accepted within 0.1 s
    And it has made 1 small read of the store and none of the policy

  Scenario Outline: A caller comes while the policy is being read
    All VMs of a zone have just started, or a VM goes on after a suspension. Guards
    against a refusal that costs the caller an attempt, with the policy milliseconds
    away.
    Given a VM that has just started
    And the store answers its reads now
    And a read of the policy takes <read> s now
    And its process has been suspended for <suspended> s
    When a caller with a deadline of <deadline> s asks for the state of a job while the policy is polled
    Then it is told <status> within <within> s

    Examples:
      | suspended | read | deadline | status | within |
      | 0         | 0.3  | 1        | 410    | 0.4    |
      | 3         | 0.3  | 1        | 410    | 0.4    |
      | 0         | 0.3  | 0.2      | 503    | 0.15   |
      | 0         | 2    | 3        | 503    | 0.6    |

  Scenario: A caller comes after the policy could not be read
    Guards against callers who wait although the store is known to be away.
    Given a VM that can't read the policy and knows owner
    And the store refuses this VM's reads
    And peer owner is not served
    When a caller with a deadline of 3 s asks for the state of a job while the policy is polled
    Then it is told 503 within 0.1 s

  Scenario: A read of the policy takes seconds
    Guards against each caller being held while the policy is known to take long.
    Given a VM that has just started
    And the store answers its reads now
    And a read of the policy takes 5 s now
    When a caller with a deadline of 3 s asks for the state of a job while the policy is polled
    And a caller with a deadline of 3 s asks for the state of a job
    Then it is told 503 within 0.1 s
