Feature: A token gives the rights that the settings in force name, and no more

  A request without rights is refused before it costs anything. Were the check
  late or dear, strangers could crowd out the callers.

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

  Scenario: An old key and a new one are both valid while a holder changes over
    If the old token ended before the new one was in use, the team's requests
    would be refused in between.
    Given the settings of the domeworks example for access
    When team dome-operations gets a second key for its holder
    Then both tokens of dome-operations give the same rights
    And a third key for the same holder is a settings fault
    When the first key of dome-operations is taken away
    Then only the new token of dome-operations gives rights

  Scenario: A team's subtree can't make an operator
    Given the settings of the domeworks example for access
    When team dome-operations gives its own key the scope operator
    Then its token gives no operator's rights and the change is a settings fault

  Scenario: An organisation's key acts for each team of it and no other
    Given the settings of the domeworks example for access
    When team show-production gives its own key the scope organisation
    Then its token acts for show-production and not for school-sessions

  Scenario: A stranger's endless token is not even hashed
    Given the settings of the domeworks example for access
    Then a token of a million letters gives no rights without being hashed

  Scenario: The keys between processes show in no text and no log line
    A person logs the settings of a process, or a fault of the program is logged with
    its trace. Whoever reads the logs could then speak as one of our processes.
    Then no secret shows in the settings of a process, or in a line or trace logged

  Scenario: The time to come back is never shorter than it was reckoned
    A caller who comes back within the time is refused again, and a crowd of them
    keeps a queue full that had room a moment later.
    Then a wait of 1.2 seconds is answered as 2, and of 0.1 seconds as 1
