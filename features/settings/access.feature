Feature: A token gives exactly the rights in the current settings

  A request without rights is refused first and cheaply. If the check came late or
  cost much, unauthenticated requests could crowd out the callers.

  Scenario Outline: Each token gives its rights
    Given the settings of the domeworks example for access
    Then the header <header> gives the rights <rights>

    Examples:
      | header                                | rights                        |
      | Bearer demo-domeworks-operator        | operator                      |
      | bearer demo-domeworks-dome-operations | caller of dome-operations     |
      | Bearer demo-domeworks-nobody          | none                          |
      | Basic demo-domeworks-operator         | none                          |
      | Bearer                                | none                          |

  Scenario: An old and a new key are both valid during a rotation
    If the old token became invalid before the new one is used, the team's requests
    would be refused in between.
    Given the settings of the domeworks example for access
    When team dome-operations gets a second key for its holder
    Then both tokens of dome-operations give the same rights
    And a third key for the same holder is a settings fault
    When the first key of dome-operations is removed
    Then only the new token of dome-operations gives rights

  Scenario: A team's own keys can't give operator rights
    Given the settings of the domeworks example for access
    When team dome-operations gives its own key the scope operator
    Then its token gives no operator rights and the change is a settings fault

  Scenario: An organisation's key acts for all of its teams and no other
    Given the settings of the domeworks example for access
    When team show-production gives its own key the scope organisation
    Then its token acts for show-production and not for school-sessions

  Scenario: An overlong token is refused without hashing
    Given the settings of the domeworks example for access
    Then a token of a million letters gives no rights without being hashed

  Scenario: The keys between processes appear in no text and no log line
    The settings of a process are logged, or an exception with its traceback. With
    the keys in it, a reader of the logs could impersonate one of our processes.
    Then no secret shows in the settings of a process, or in a line or trace logged

  Scenario: The Retry-After header is never shorter than the computed time
    A caller that retries earlier is refused again, and many such callers keep a
    queue full that would have places a moment later.
    Then a wait of 1.2 seconds is answered as 2, and of 0.1 seconds as 1
