Feature: The platform's store is down

  Scenario: The store is down for three worker leases
    The platform's store refuses every call for a while. An operator still needs
    a preview before the school group sits down. A render that is halfway must
    not be lost. What can't be recorded is refused as not run, so that nobody
    wonders whether a client was billed.

    Given 3 VMs serve requests
    And 4 gangs of 25 seconds run
    And 4 caption passes run when the store goes down
    When callers send requests and jobs until three worker leases have passed
    Then every preview was answered
    And every first caption pass and every job was refused as not run, with when to come back
    And the passes that ran when it went down were answered
    And after the store's return the gangs end without a second start
    And repeated passes have their answer and ran once, refused ones did not run

  Scenario: The store is down and the owner of cells dies as well
    With the store down no other placer can become the owner of the dead one's
    cells. If nobody renewed the leases of its workers, every render there would
    be lost, although nothing is wrong with any of them.

    Given 3 VMs serve requests of a team that may hold 96 accelerators
    And 4 gangs of 25 seconds run
    And 2 gangs of 8 seconds run
    And 2 gangs wait for room
    When the store goes down, the owner of cells dies, and three worker leases pass
    Then the gangs that ran have ended or go on, and nothing new has started
    And after the store's return each cell has a new or old owner
    And all gangs end without a second start
