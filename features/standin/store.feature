Feature: The store keeps its promises, and each fault has its error kind

  The programs decide by the store's error kinds whether a write may have been
  made. A stand-in, or an adapter, that named one fault as another would let a
  request run twice or refuse one that was accepted.

  Scenario Outline: Of two writers that expect the same revision one wins
    Given the stand-in reached <how>
    When "x" is put at "a/1" expecting revision 0
    And "y" is put at "a/1" expecting revision 0
    Then the swap was not made and found "x"
    When "y" is put at "a/1" expecting the revision found
    Then "a/1" is stored as "y"
    When "a/1" is deleted expecting the revision found
    Then the swap was not made and found "y"
    When "a/1" is deleted expecting the revision found
    Then "a/1" is not stored
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: Pages go through a prefix in key order
    Given the stand-in reached <how>
    When "x" is put at "a/2" expecting revision 0
    And "x" is put at "a/1" expecting revision 0
    And "x" is put at "a/3" expecting revision 0
    And "x" is put at "b/1" expecting revision 0
    Then a page of 2 under "a/" after "" is "a/1 a/2" and more
    And a page of 2 under "a/" after "a/2" is "a/3" and no more
    And a page of 9 under "" after "" is "a/1 a/2 a/3 b/1" and no more
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A lapsed lease takes its keys along, and watches see it
    Its holder was paused for too long. Others must see the keys go, and the
    holder must learn that it holds nothing any more.
    Given the stand-in reached <how>
    And a watch of "a/" from revision 1
    When a lease of 2 seconds is granted
    And "x" is put at "a/1" under that lease
    And 1 seconds pass
    Then the lease can be kept
    And the watch comes to show "put a/1, removed a/1"
    And "a/1" is not stored
    And the lease can not be kept
    When "x" is put at "a/1" under that lease
    Then the stand-in's call failed as not_found
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A watch from an old revision misses nothing
    Given the stand-in reached <how>
    When "x" is put at "a/1" expecting revision 0
    And "x" is put at "b/1" expecting revision 0
    And "x" is put at "a/2" expecting revision 0
    And a watch of "a/" from revision 3
    Then the watch comes to show "put a/2"
    And the store has counted 1 watch calls and 3 txn calls
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A value over a megabyte is refused and not written
    Given the stand-in reached <how>
    When 1000001 bytes are put at "a/1"
    Then the stand-in's call failed as too_large
    And "a/1" is not stored
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: While the store is down nothing has an effect
    Given the stand-in reached <how>
    And a watch of "a/" from revision 1
    When the stand-in's faults become {"store": {"down": true}}
    Then the watch comes to fail as store_unavailable
    When "x" is put at "a/1" expecting revision 0
    Then the stand-in's call failed as store_unavailable
    And "a/1" is not stored
    When the stand-in's faults become {"store": {"down": false}}
    And "x" is put at "a/1" expecting revision 0
    Then "a/1" is stored as "x"
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A write whose answer is lost has been made
    The connection breaks just after the store has done what was asked. Whoever
    took that for a refusal would write a second time.
    Given the stand-in reached <how>
    When the stand-in's faults become {"store": {"lose_answers": 1}}
    And "x" is put at "a/1" expecting revision 0
    Then the stand-in's call failed as store_answer_lost
    And "a/1" is stored as "x"
    When "y" is put at "a/2" expecting revision 0
    Then "a/2" is stored as "y"
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A watch that says nothing is given up
    The store has forgotten the stream, and it looks as if nothing changed. A
    process would keep old settings for good.
    Given the stand-in reached <how>
    When the stand-in's faults become {"store": {"silent_watches": true}}
    And a watch of "a/" from revision 1
    Then the watch comes to fail as store_unavailable
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario: A write that a slow store makes after the deadline may have been made
    Given the stand-in reached over HTTP
    When the stand-in's faults become {"store": {"slow_seconds": 1.5}}
    And "x" is put at "a/1" expecting revision 0
    Then the stand-in's call failed as store_answer_lost
    And "a/1" comes to be stored as "x"

  Scenario: Connections to the store that went silent are replaced
    Something between the two ends has lost track of the connections that were
    open. New ones work, so one write may be in doubt, but not the next.
    Given the stand-in reached over HTTP
    And a watch of "a/" from revision 1
    When "x" is put at "a/1" expecting revision 0
    And the stand-in's faults become {"store": {"silent": true}}
    And "y" is put at "a/2" expecting revision 0
    Then the stand-in's call failed as store_answer_lost
    And the watch comes to fail as store_unavailable
    When "z" is put at "a/3" expecting revision 0
    Then "a/3" is stored as "z"

  Scenario: A dead address is passed over
    Given the stand-in reached over HTTP
    And a dead address before the store's own
    When "x" is put at "a/1" expecting revision 0
    Then "a/1" is stored as "x"
