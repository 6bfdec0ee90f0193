Feature: A process applies only newer settings, also while the store fails

  Every decision reads the settings in force. They may lag by some seconds, but they
  must never revert, and must stay in force during an outage of the store.

  Scenario: A change reaches a process that watches
    Given a settings follower of the domeworks example
    When an operator sets the queue limit to 77
    Then the settings follower shows a queue limit of 77 within 1 seconds

  Scenario: The store recovers from an outage with a change
    A change is stored just before the outage, and its notification is lost. The process
    must keep its settings during the outage and must not miss the change afterwards.
    Given a settings follower of the domeworks example
    When the settings store is down for 60 seconds and the queue limit changes to 78
    Then the settings follower kept the example meanwhile
    And the settings follower shows a queue limit of 78 within 11 seconds

  Scenario: A watch goes silent permanently
    An intermediary has dropped the connection. The watch looks like one without
    changes, and the process would miss every change.
    Given a settings follower of the domeworks example
    When the settings watch goes silent and the queue limit changes to 79
    Then the settings follower shows a queue limit of 79 within 11 seconds

  Scenario: An older value arrives after a newer one
    A slow peer sends the values that it had. Applying them would undo an accepted
    change.
    Given a settings follower of the domeworks example
    When the queue limit changes to 80 and the old policy arrives again
    Then the settings follower shows a queue limit of 80 within 1 seconds

  Scenario: A stored value that this program can't read
    A newer steward has stored a form that this process can't decode.
    Given a settings follower of the domeworks example
    When the store holds a policy that no program can read
    Then the settings follower kept the example meanwhile

  Scenario: A fleet of 15,000 workers fits the store's limit on values
    The store limits a value to a megabyte. A value that exceeded it together with its
    audit entries could not be changed any more.
    Given a settings store loaded with 15000 workers, 19 domains, 210 teams
    When the workers of domain-3 are changed 20 times in the large settings
    Then each stored setting is below a megabyte with its audit entries, also unpacked
    And a new settings follower shows the same large settings

  Scenario: Some of the values that make up a fleet have not arrived yet
    Values arrive one by one in any order, so workers may arrive before their racks. A
    gang placed on such a worker would run in no owned cell.
    Then a follower that gets the example's values in any order shows only what fits

  Scenario: A store in the earlier form, with the workers in the fleet's value
    The programs are upgraded while the store keeps the earlier form. If its workers
    were ignored, every cell would be empty and its gangs would end.
    Given a fleet that is stored with its workers, as earlier versions did
    Then a settings follower shows all its workers, and so at each step of a load
