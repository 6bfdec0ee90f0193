Feature: Operators read, change and follow settings through any steward

  Background:
    Given a steward of the domeworks example

  Scenario Outline: A caller without the right is refused, and nothing changes
    A caller sends no token, a wrong one, or that of a team. A team could otherwise
    raise its own quota.
    Given the steward is asked with the token <token>
    When the queue limit is put as 5 on revision 1
    Then the steward answers <status> <error>
    And the stored policy is at revision 1

    Examples:
      | token                          | status | error           |
      | none                           | 401    | unauthenticated |
      | wrong                          | 401    | unauthenticated |
      | demo-domeworks-dome-operations | 403    | forbidden       |

  Scenario: A change is stored with its actor
    Given the steward is asked with the token demo-domeworks-operator
    When the queue limit is put as 5 on revision 1
    Then the steward answers 200
    And the history of policy begins with revision 2 by operator-demo

  Scenario: A change on an old revision shows both values
    Two operators edit one path. The slower one needs to see both the stored value and
    the refused one, to merge them.
    Given the steward is asked with the token demo-domeworks-operator
    When the queue limit is put as 5 on revision 1
    And the queue limit is put as 6 on revision 1
    Then the steward answers 409 conflict
    And the steward's answer shows a queue limit of 5 and of 6

  Scenario: A faulty change is refused with each fault
    An operator makes two mistakes at once and sees both.
    Given the steward is asked with the token demo-domeworks-operator
    When policy is put with a share of 7 and an unknown key
    Then the steward answers 422 invalid_settings
    And the steward shows faults at policy.patient_share and policy.colour
    And the stored policy is at revision 1

  Scenario: A team is removed, and the revisions of its path continue
    If the revision began again, a process that has seen the team would reject it as old
    once the team is added again.
    Given the steward is asked with the token demo-domeworks-operator
    When the steward removes teams/archive-captions on revision 1
    Then the steward answers 200
    And the steward shows teams/archive-captions at revision 2 as null

  Scenario: The store is down
    The settings in force can still be read, and are marked as possibly stale. A change
    is refused as not made.
    Given the steward is asked with the token demo-domeworks-operator
    And the steward's store is down
    When the steward is asked for policy
    Then the steward answers 200
    And the steward marks its answer as stale
    When the queue limit is put as 5 on revision 1
    Then the steward answers 503 store_unavailable

  Scenario: A fleet shrinks while guarantees rise
    Each change is checked against the other path as read before. No swap covers both
    paths, so the later writer is warned that they disagree.
    Given the steward is asked with the token demo-domeworks-operator
    When guarantees rise in the store while the steward stores a fleet without a rack
    Then the steward answers 200
    And the steward warns about guarantees.guarantees

  Scenario: The status shows which process lags
    A process that can't reach the store keeps old settings. The status names the
    process and the path.
    Given the steward is asked with the token demo-domeworks-operator
    And a process named vm-2-entry that has applied policy at revision 1
    And a process named vm-3-entry that does not answer
    When the queue limit is put as 5 on revision 1
    And the steward is asked for the status
    Then the status names vm-2-entry as behind at policy and vm-3-entry as silent

  Scenario: The status in an outage of the store
    Operators check the status when something fails, and that may be the store.
    Given the steward is asked with the token demo-domeworks-operator
    And a process named vm-2-entry that has applied policy at revision 0
    And the steward's store is down
    When the steward is asked for the status
    Then the status shows vm-2-entry behind at policy

  Scenario: A job is explained to its team and hidden from others
    Given a stored job of dome-operations that was placed and reclaimed
    When dome-operations asks why its job waits
    Then the explanation names each decision as a sentence
    When school-sessions asks why the job waits
    Then the steward answers 404 not_found

  Scenario: No answer, log or audit entry shows a token
    Tokens are sent in a header only. A token in a log or an answer could be read by
    everyone with access to it.
    Then no token shows in any answer, log line or stored value of the steward

  Scenario: Any malformed call is answered with an error of the table
    A faulty script may send anything. The steward must not fail on it, and the answer
    must say what was wrong.
    Given the steward is asked with the token demo-domeworks-operator
    Then each malformed call to the steward is answered by an error of the table
