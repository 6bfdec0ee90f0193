Feature: A settings change and its audit entry are stored together or not at all

  Operators change a path concurrently, the store loses answers, and a process may die
  between any two calls. In each case an accepted change is stored with its entry, and
  the operator is never told that a change was not made when it was.

  Scenario: Two operators change one path at the same moment
    Both read revision 1 and send a change. One of them must fail and see both values,
    or the first change would be overwritten silently.
    Given a settings store with policy at revision 1
    When two operators change policy from revision 1 at the same moment
    Then one settings change is stored and the other is a conflict that shows both

  Scenario: Two operators raise guarantees that are impossible together
    Each raise alone fits the fleet that remains after the loss of a failure domain;
    together they do not. Because both are stored in one value, the second writer sees
    the first; otherwise an organisation would have a guarantee that can't be kept.
    Given a settings store with the domeworks example
    When two operators each raise a guarantee that fits alone at the same moment
    Then only one raise is stored and the stored guarantees fit the fleet

  Scenario Outline: The store applies the change and loses the answer
    The operator must not be told that the change failed: sending it again would
    conflict with one's own change.
    Given a settings store with policy at revision 1
    And the settings store loses the next <lost> answers
    When an operator changes policy from revision 1
    Then the settings change is answered as revision 2
    And the settings store holds policy at revision 2 with each change audited once

    Examples:
      | lost |
      | 1    |
      | 3    |

  Scenario: The store loses an answer and then goes down
    It is unknown whether the change was made. Answering "not run" would be wrong.
    Given a settings store with policy at revision 1
    And the settings store loses the next answer and goes down after it
    When an operator changes policy from revision 1
    Then the settings change is answered as store_answer_lost

  Scenario: The store is down
    Nothing was written, and the operator may send the same change again.
    Given a settings store with policy at revision 1
    And the settings store is down
    When an operator changes policy from revision 1
    Then the settings change is answered as store_unavailable

  Scenario: Old audit entries move to their own keys before they are cut
    The value stays small, and no entry is lost, also when the process dies after
    moving entries and before the change.
    Given a settings store with policy at revision 1
    When policy is changed 40 times while every third writer dies
    Then the history of policy shows 40 revisions once with before and after

  Scenario: The revisions of a removed team continue when it is added again
    If its revision began at 1 again, every process would consider it older than the one
    that it has seen, and ignore the team.
    Given a settings store with the domeworks example
    When the team archive-captions is removed and put back
    Then a follower that saw it before shows it again
