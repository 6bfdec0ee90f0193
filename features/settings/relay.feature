Feature: Settings reach every process while few of them watch the store

  The store limits calls and open watches, so processes pass changes on to one another.
  Messages may be lost, late or repeated, processes restart and the store goes down; an
  accepted change must still be in force everywhere within seconds, and no process may
  revert it.

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
    The watchers send a change once. Without a repair, a process that misses the message
    would keep the old settings for ever.
    Given 9 relaying processes in 3 failure domains
    When the relaying processes have run for 30 seconds
    And each next message to a relaying process is lost, 30 in all
    Then a settings change is in force at every relaying process within 11 seconds

  Scenario: The watchers of a domain die
    The watching processes of a domain end at once, as when a rack fails. Until others
    take over, its processes get no changes.
    Given 12 relaying processes in 3 failure domains
    When the relaying processes have run for 30 seconds
    And the watchers of the first failure domain die
    Then a settings change is in force at every relaying process within 11 seconds

  Scenario: A process is cut off from all peers
    The network between it and all other processes has failed, while the store still
    answers. Without its own watch it would miss every change.
    Given 9 relaying processes in 3 failure domains
    When the relaying processes have run for 30 seconds
    And one relaying process that does not watch is cut off from its peers
    Then a settings change is in force at every relaying process within 11 seconds

  Scenario: A process starts while the store is down
    One of its peers was paused and has old settings. The process takes the highest
    revision of each path from several peers, so it does not revert.
    Given 9 relaying processes in 3 failure domains
    When the relaying processes have run for 30 seconds
    And one relaying process is paused during a change and the store goes down
    And a relaying process starts with the old one and two others as seeds
    Then the started process is ready with the changed settings within 5 seconds

  Scenario: A process starts while the store is down and one old peer answers
    With one peer alone it could revert to settings older than those before its restart,
    so it does not become ready.
    Given 9 relaying processes in 3 failure domains
    When the relaying processes have run for 30 seconds
    And one relaying process is paused during a change and the store goes down
    And a relaying process starts that can reach only the old one
    Then the started process is not ready after 30 seconds
    When the store of the relaying processes recovers
    Then the started process is ready with the changed settings within 11 seconds

  Scenario: Losses, delays, repetitions, outages and restarts in any order
    Any of these may happen at any time. A setting that reverted could admit work that
    an operator has excluded.
    Then under any such faults no applied revision falls and all reach the accepted
