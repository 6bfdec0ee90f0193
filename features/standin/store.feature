Feature: The store gives its guarantees, and each fault has its error kind

  The programs decide by the store's error kinds whether a write may have taken
  effect. A stand-in or an adapter that reports the wrong kind would let a request
  run twice, or refuse one that was accepted.

  Scenario Outline: One of two writers that expect the same revision succeeds
    Given the stand-in accessed <how>
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

  Scenario Outline: Pages list a prefix in key order
    Given the stand-in accessed <how>
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

  Scenario Outline: An expired lease removes its keys, and watches see it
    The holder was paused for too long. Others must see the removal of its keys, and
    the holder must learn that its lease has ended.
    Given the stand-in accessed <how>
    And a watch of "a/" from revision 1
    When a lease of 2 seconds is granted
    And "x" is put at "a/1" under that lease
    And 1 seconds pass
    Then the lease can be renewed
    And the watch eventually shows "put a/1, removed a/1"
    And "a/1" is not stored
    And the lease can not be renewed
    When "x" is put at "a/1" under that lease
    Then the stand-in's call failed as not_found
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A watch from an old revision misses no change
    Given the stand-in accessed <how>
    When "x" is put at "a/1" expecting revision 0
    And "x" is put at "b/1" expecting revision 0
    And "x" is put at "a/2" expecting revision 0
    And a watch of "a/" from revision 3
    Then the watch eventually shows "put a/2"
    And the store has counted 1 watch calls and 3 txn calls
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: A value over a megabyte is refused and not written
    Given the stand-in accessed <how>
    When 1000001 bytes are put at "a/1"
    Then the stand-in's call failed as too_large
    And "a/1" is not stored
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario Outline: While the store is down no call takes effect
    Given the stand-in accessed <how>
    And a watch of "a/" from revision 1
    When the stand-in's faults become {"store": {"down": true}}
    Then the watch eventually fails as store_unavailable
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

  Scenario Outline: A write whose answer is lost has taken effect
    The connection breaks just after the store has executed the call. A caller that
    treated this as a refusal would write a second time.
    Given the stand-in accessed <how>
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

  Scenario Outline: A silent watch is closed
    The store has lost the stream, and the watch looks as if nothing changed. A
    process would keep old settings forever.
    Given the stand-in accessed <how>
    When the stand-in's faults become {"store": {"silent_watches": true}}
    And a watch of "a/" from revision 1
    Then the watch eventually fails as store_unavailable
    Examples:
      | how       |
      | in memory |
      | over HTTP |

  Scenario: A write that a slow store executes after the deadline has an unknown outcome
    Given the stand-in accessed over HTTP
    When the stand-in's faults become {"store": {"slow_seconds": 1.5}}
    And "x" is put at "a/1" expecting revision 0
    Then the stand-in's call failed as store_answer_lost
    And "a/1" is eventually stored as "x"

  Scenario: Silent connections to the store are replaced
    A middlebox has lost the state of the open connections. New ones work, so the
    outcome of one write may be unknown, but not that of the next.
    Given the stand-in accessed over HTTP
    And a watch of "a/" from revision 1
    When "x" is put at "a/1" expecting revision 0
    And the stand-in's faults become {"store": {"silent": true}}
    And "y" is put at "a/2" expecting revision 0
    Then the stand-in's call failed as store_answer_lost
    And the watch eventually fails as store_unavailable
    When "z" is put at "a/3" expecting revision 0
    Then "a/3" is stored as "z"

  Scenario: A dead address is skipped
    Given the stand-in accessed over HTTP
    And a dead address before the store's own
    When "x" is put at "a/1" expecting revision 0
    Then "a/1" is stored as "x"
