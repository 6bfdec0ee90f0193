Feature: A new entry serves its first request and all later ones

  Scenario: An entry is replaced after its grants have lapsed
    A replaced VM takes longer to start than the grants of its entry last, so the slots
    are granted to the other entries. If the new entry got an empty grant, it would
    refuse every request for four seconds although workers are idle: callers would get
    "overloaded" in a quiet hour.
    Given 2 entries that have shared the slots of all workers for 10 seconds
    When a third entry joins, and 6 callers ask it one after another for 8 seconds
    Then none of its requests is refused or fails
    And at the end each entry may use at least a quarter of the slots

  Scenario: An entry joins while the others are busy
    The other entries learn of the new one within a second. Until then they and the new
    entry may use the same slot of a worker. A request that a worker refuses as not run
    is retried elsewhere, and no caller may see a refusal.
    Given 2 entries that have shared the slots of all workers for 10 seconds
    And 40 callers ask each of them one after another
    When a third entry joins, and 40 callers ask it one after another for 8 seconds
    Then no request of any entry is refused or fails

  Scenario: An entry is ready before it has received its own registration
    Under load the store is slow to show a new entry its own record, while the others
    are listed already. An entry that did not count itself in the sharing would have no
    slot, and would refuse everything until its record arrives.
    Given the list of processes shows 2 entries and not the one that is asked
    When 6 callers ask it one after another for 2 seconds
    Then none of its requests is refused or fails
