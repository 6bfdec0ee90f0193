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
