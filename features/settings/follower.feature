Feature: A process applies only newer settings, whatever the store does

  Every decision reads the settings in force. They may lag for some seconds; they
  may never go back, and an outage of the store may not take them away.

  Scenario: A change reaches a process that watches
    Given a settings follower of the domeworks example
    When an operator sets the queue limit to 77
    Then the settings follower shows a queue limit of 77 within 1 seconds

  Scenario: The store goes down and comes back with a change
    A change is stored just before the outage, and its news is cut off. The process
    must neither lose its settings meanwhile nor miss the change afterwards.
    Given a settings follower of the domeworks example
    When the settings store is down for 60 seconds and the queue limit changes to 78
    Then the settings follower kept the example meanwhile
    And the settings follower shows a queue limit of 78 within 11 seconds

  Scenario: A watch goes silent for good
    Something between the two ends has lost track of the connection. It shows
    nothing, just as a quiet day does, and the process would miss every change.
    Given a settings follower of the domeworks example
    When the settings watch goes silent and the queue limit changes to 79
    Then the settings follower shows a queue limit of 79 within 11 seconds

  Scenario: An older value arrives after a newer one
    A slow peer passes on what it had. Taking it would undo an accepted change.
    Given a settings follower of the domeworks example
    When the queue limit changes to 80 and the old policy arrives again
    Then the settings follower shows a queue limit of 80 within 1 seconds

  Scenario: A stored value that this program can't read
    A newer steward has stored a form that this process does not know.
    Given a settings follower of the domeworks example
    When the store holds a policy that no program can read
    Then the settings follower kept the example meanwhile

  Scenario: A fleet of thousands of workers fits in one value
    The store holds a megabyte a value. A large fleet with its audit entries would
    pass that after some changes, and no change could be stored any more.
    Given a settings store with a fleet of 5000 workers
    When the large fleet is changed 20 times
    Then a new settings follower shows 5000 workers
