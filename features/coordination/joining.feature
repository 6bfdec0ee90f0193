Feature: An entry that joins serves from its first request on

  Scenario: An entry comes back after its grants have lapsed
    A VM is replaced and takes longer to start than what its entry was granted
    lasts. By then the slots are granted to the other entries. If the new one were
    told that it has none, it would refuse every request for four seconds, beside
    workers that are idle: callers read "overloaded" in a quiet hour.
    Given 2 entries that have shared the slots of all workers for 10 seconds
    When a third entry joins, and 6 callers ask it one after another for 8 seconds
    Then none of its requests is refused or fails
    And at the end each entry may use at least a quarter of the slots

  Scenario: An entry joins while the others are busy
    The new entry and the others, told of its coming within a second, may want the
    same slot of a worker for that long. What a worker refuses as not run is tried
    elsewhere; a caller must not notice.
    Given 2 entries that have shared the slots of all workers for 10 seconds
    And 40 callers ask each of them one after another
    When a third entry joins, and 40 callers ask it one after another for 8 seconds
    Then no request of any entry is refused or fails

  Scenario: An entry is ready before its own registration has come to it
    Beside load, the store is slow to show a new entry its own record, and the
    others stand in the list already. An entry that left itself out of the sharing
    would have no slot, and refuse everything until its record comes.
    Given the list of processes shows 2 entries and not the one that is asked
    When 6 callers ask it one after another for 2 seconds
    Then none of its requests is refused or fails
