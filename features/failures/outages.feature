Feature: The platform's store is down

  Scenario: The store is down for three worker leases
    The platform's store refuses every call for some time. An operator still needs a
    preview before the school group sits down. A render that is halfway done must not
    be lost. A request that can't be recorded is refused as not run, so that its
    caller knows that no client was billed.

    Given 3 VMs serve requests
    And 4 gangs of 25 seconds run
    And 4 caption passes run when the store goes down
    When callers send requests and jobs until three worker leases have passed
    Then every preview was answered
    And every first caption pass and every job was refused as not run, with a retry time
    And the passes that ran when it went down were answered
    And after the store's return the gangs end without a second start
    And repeated passes have their answer and ran once, refused ones did not run

  Scenario: The store is down and the owner of cells dies too
    While the store is down no other placer can acquire the dead owner's cells. If
    no process renewed the leases of its workers, every render there would be lost,
    although none of them has failed.

    Given 3 VMs serve requests
    And 3 gangs over 48 accelerators run for 25 seconds
    And 3 gangs over 16 accelerators run for 8 seconds
    And 3 gangs wait for room
    When the store goes down, the owner of cells dies, and three worker leases pass
    Then the gangs that ran have ended or still run, and nothing new has started
    And after the store's return each cell has a new or old owner
    And all gangs end without a second start
