Feature: Settings reach every process while few of them watch the store

  The store counts each call and each waiting watch. Processes therefore pass
  changes on to one another. Messages get lost, come late or twice, processes
  restart and the store goes down; an accepted change must still be in force
  everywhere within seconds, and no process may go back.

  Scenario Outline: The store's watches do not grow with the processes
    Given <count> relaying processes in 3 failure domains
    When the relaying processes have run for 30 seconds
    Then the store has at most 6 settings watches open
    And a settings change is in force at every relaying process within 2 seconds

    Examples:
      | count |
      | 9     |
      | 60    |

  Scenario: Every message of a change is lost
    The watchers send a change once. If the message is lost, the process would go
    on with the old settings for ever.
    Given 9 relaying processes in 3 failure domains
    When the relaying processes have run for 30 seconds
    And each next message to a relaying process is lost, 30 in all
    Then a settings change is in force at every relaying process within 11 seconds

  Scenario: The watchers of a domain die
    The processes that a domain relies on end at once, as when a rack fails. Until
    others take over, nobody would bring it changes.
    Given 12 relaying processes in 3 failure domains
    When the relaying processes have run for 30 seconds
    And the watchers of the first failure domain die
    Then a settings change is in force at every relaying process within 11 seconds

  Scenario: A process that hears from no peer
    Something between it and all others has failed, while the store still
    answers. It would never learn of a change.
    Given 9 relaying processes in 3 failure domains
    When the relaying processes have run for 30 seconds
    And one relaying process that does not watch is cut off from its peers
    Then a settings change is in force at every relaying process within 11 seconds

  Scenario: A process starts while the store is down
    One of its peers has slept and is old. The process takes the highest revision
    that several of them have, so it does not go back.
    Given 9 relaying processes in 3 failure domains
    When the relaying processes have run for 30 seconds
    And one relaying process sleeps through a change and the store goes down
    And a relaying process starts that knows the old one and two others
    Then the started process is ready with the changed settings within 5 seconds

  Scenario: A process starts while the store is down and one old peer answers
    From one peer alone it could go back behind what it had before its restart,
    so it does not begin to serve.
    Given 9 relaying processes in 3 failure domains
    When the relaying processes have run for 30 seconds
    And one relaying process sleeps through a change and the store goes down
    And a relaying process starts that reaches only the old one
    Then the started process is not ready after 30 seconds
    When the store of the relaying processes comes back
    Then the started process is ready with the changed settings within 11 seconds

  Scenario: Losses, delays, repetitions, outages and restarts in any order
    Any of these may come at any moment. A setting that came back from the past would
    let work in that an operator has shut out.
    Then under any such faults no applied revision falls and all reach the accepted
