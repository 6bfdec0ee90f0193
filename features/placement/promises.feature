Feature: Every guaranteed shape can be reclaimed at every step

  An organisation has a guarantee of eight accelerators on one worker. It is
  broken if eight are free, but on eight workers, or if a non-preemptible job of
  another organisation runs inside the allocation.

  Scenario: Allocations agree with a brute-force search on tiny cells
    Then for 400 tiny cells the allocation search agrees with brute force

  Scenario: No sequence of starts, ends and reclaims breaks a guarantee
    Jobs of every kind start, end, are preempted and restart in any order. A
    broken guarantee shows only when the shape is needed, so each step is compared
    with a brute-force search.
    Then no fuzzed sequence of placements leaves a guarantee that brute force cannot keep

  Scenario: A guarantee survives workers that are lost and return
    A worker with a non-preemptible job is quarantined and returns an hour later.
    If the allocation of the job's organisation were dropped meanwhile, the cell
    would refuse such work from then on.
    Then no fuzzed sequence with lost workers ends with a guarantee lost for good

  Scenario: A cell is rebuilt from reports in any order
    After the loss of a cell's owner, the new owner rebuilds the view from worker
    reports in any order. If the order mattered, guarantees could count as lost
    although they can be kept, and work would wait without need.
    Then a rebuilt view of each fuzzed cell keeps the same guarantees

  Scenario: Guarantees are accepted only if any one failure domain may be lost
    Two organisations have guarantees of half of the fleet each. Both can be kept
    until a failure domain is lost; then one of them cannot.
    Then for 150 tiny fleets the accepted guarantees are those that brute force can assemble after each loss

  Scenario: Work of one guaranteed shape does not use up a larger guarantee
    An organisation has guarantees of four in a rack and three on a worker. The
    three started first, in the only rack that could hold the four, and the
    guaranteed four had to wait.
    Given a tiny cell with racks of 2 and 1 workers with 3 accelerators
    Given the tiny cell guarantees "north 1 cell, east 4 rack, east 3 worker"
    When the tiny cell is asked for "north 3 rack, preemptible"
    When the tiny cell is asked for "east 3 worker, non-preemptible"
    When the tiny cell is asked for "east 4 rack, non-preemptible"
    Then the last request of the tiny cell is placed or reclaimed at once

  Scenario: Work of one adjacency does not use up a guarantee of another
    Four accelerators anywhere and four in a rack are guaranteed. The four
    anywhere went into the rack, and the four in a rack had to wait.
    Given a tiny cell with racks of 2 and 1 workers with 3 accelerators
    Given the tiny cell guarantees "north 4 rack, north 4 cell, south 1 worker"
    When the tiny cell is asked for "north 4 cell, preemptible"
    When the tiny cell is asked for "north 4 cell, non-preemptible"
    When the tiny cell is asked for "north 4 rack, non-preemptible"
    Then the last request of the tiny cell is placed or reclaimed at once

  Scenario: Work in its own allocation does not block a guarantee whose worker is lost
    While a worker is quarantined, allocations lie elsewhere than before. A
    non-preemptible job started in its own organisation's allocation, and after
    the worker's return another guarantee had no allocation left.
    Given a tiny cell with racks of 2 and 2 workers with 3 accelerators
    Given the tiny cell guarantees "north 3 worker, north 4 rack"
    When the tiny cell is asked for "north 4 rack, non-preemptible"
    When the tiny cell is asked for "north 1 worker, non-preemptible"
    When the tiny cell is asked for "north 2 worker, non-preemptible"
    When worker 1 of the tiny cell is lost
    When the tiny cell is asked for "north 2 cell, non-preemptible"
    When worker 1 of the tiny cell returns
    Then every guarantee of the tiny cell has an allocation

  Scenario: A second job of one guaranteed shape does not block another guarantee
    Four in a rack, four anywhere and three on a worker are guaranteed. Two jobs of
    four anywhere and one of three on a worker ran; the first and the last ended.
    The other job left no room for both other guarantees, and the owed four in a
    rack had to wait.
    Given a tiny cell with racks of 2 and 2 workers with 3 accelerators
    Given the tiny cell guarantees "south 4 rack, south 4 cell, south 3 worker"
    When the tiny cell is asked for "south 4 cell, non-preemptible"
    When the tiny cell is asked for "south 3 worker, non-preemptible"
    When the tiny cell is asked for "south 4 cell, non-preemptible"
    When job 2 of the tiny cell ends
    When job 1 of the tiny cell ends
    When the tiny cell is asked for "south 4 rack, non-preemptible"
    Then the last request of the tiny cell is placed or reclaimed at once
