Feature: Every promised shape can be taken back at every step

  An organisation is promised eight accelerators on one worker. Eight are free,
  one on each of eight workers, and the evening session has no sky. Or a caption
  pass that must not run twice sits in the middle of the promised room, and
  nothing may stop it.

  Scenario: Rooms agree with a brute-force search on tiny cells
    Then for 400 tiny cells the room search agrees with brute force

  Scenario: No sequence of starts, ends and reclaims breaks a promise
    Work of every kind starts, ends, is stopped for others and comes back, in
    any order. A user would notice a broken promise only on the day on which the
    shape is needed, so each step is compared with a search of all assignments.
    Then no fuzzed sequence of placements leaves a promise that brute force cannot keep

  Scenario: A promise survives workers that go and return
    A worker is quarantined with a surcharge run on it that cannot be stopped; it
    returns an hour later. If the room of its organisation were forgotten
    meanwhile, the cell would refuse such work from then on.
    Then no fuzzed sequence with lost workers ends with a promise lost for good

  Scenario: A cell taken over is read back in any order
    The VM that decides about a cell vanishes, and another rebuilds the picture
    from reports that come in any order. Were the order to matter, the new owner
    could call a cell unsafe that is safe, and clerks would wait for nothing.
    Then a rebuilt view of each fuzzed cell keeps the same promises

  Scenario: Guarantees are accepted only if any one failure domain may be lost
    Two organisations are each promised half of the fleet. Both are fine until a
    failure domain goes dark; then one of them is told that its promise is void.
    Then for 150 tiny fleets the accepted guarantees are those that brute force can assemble after each loss

  Scenario: Work of one promised shape does not use up a larger promise
    An organisation is promised a shape of four in a rack and one of three on a
    worker. It starts the three first, in the only rack that could hold the
    four, and is told to wait for the four that it was promised.
    Given a tiny cell with racks of 2 and 1 workers with 3 accelerators
    Given the tiny cell promises "north 1 cell, east 4 rack, east 3 worker"
    When the tiny cell is asked for "north 3 rack, evictable"
    When the tiny cell is asked for "east 3 worker, unstoppable"
    When the tiny cell is asked for "east 4 rack, unstoppable"
    Then the last request of the tiny cell comes at once

  Scenario: Work of one adjacency does not use up a promise of another
    Four accelerators anywhere and four in a rack are promised. The four
    anywhere went into the rack, and the four in a rack were told to wait.
    Given a tiny cell with racks of 2 and 1 workers with 3 accelerators
    Given the tiny cell promises "north 4 rack, north 4 cell, south 1 worker"
    When the tiny cell is asked for "north 4 cell, evictable"
    When the tiny cell is asked for "north 4 cell, unstoppable"
    When the tiny cell is asked for "north 4 rack, unstoppable"
    Then the last request of the tiny cell comes at once

  Scenario: Work in its own room does not spoil a promise whose worker is away
    While a worker is quarantined, rooms lie elsewhere than before. Work that
    nothing may stop starts in its own organisation's room, and when the worker
    returns, another promise has no room left.
    Given a tiny cell with racks of 2 and 2 workers with 3 accelerators
    Given the tiny cell promises "north 3 worker, north 4 rack"
    When the tiny cell is asked for "north 4 rack, unstoppable"
    When the tiny cell is asked for "north 1 worker, unstoppable"
    When the tiny cell is asked for "north 2 worker, unstoppable"
    When worker 1 of the tiny cell is away
    When the tiny cell is asked for "north 2 cell, unstoppable"
    When worker 1 of the tiny cell is back
    Then every promise of the tiny cell has a room
