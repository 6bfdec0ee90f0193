Feature: A settings change and its audit entry stand together or not at all

  Operators race one another, the store loses answers, and a process may die
  between any two calls. Whatever happens, a change that was accepted stands with
  its entry, and the operator is never told that it was not made when it was.

  Scenario: Two operators change one path at the same moment
    Both read revision 1 and send a change. One of them must lose and see both
    values, or the first one's change would vanish without a word.
    Given a settings store with policy at revision 1
    When two operators change policy from revision 1 at the same moment
    Then one settings change stands and the other is a conflict that shows both

  Scenario: Two operators raise guarantees that are impossible together
    Each raise alone fits the fleet that is left when a failure domain is lost;
    together they do not. One stored value makes the second writer see the
    first; otherwise an organisation would hold a promise that can't be kept.
    Given a settings store with the domeworks example
    When two operators each raise a guarantee that fits alone at the same moment
    Then only one raise stands and the stored guarantees fit the fleet

  Scenario Outline: The store takes the change and loses the answer
    The operator must not be told that the change failed: sending it again would
    be a conflict with oneself.
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
    Nobody can tell whether the change was made. Saying "not run" would be a lie.
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

  Scenario: Old audit entries move to keys of their own before they are cut
    The value stays small, and no entry is lost, also when the process dies after
    moving entries and before the change.
    Given a settings store with policy at revision 1
    When policy is changed 40 times while every third writer dies
    Then the history of policy shows 40 revisions once with before and after

  Scenario: A removed team that comes back goes on counting
    If its revision began at 1 again, every process would take it for older than
    what it has seen, and leave the team out.
    Given a settings store with the domeworks example
    When the team archive-captions is removed and put back
    Then a follower that saw it before shows it again
