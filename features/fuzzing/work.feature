Feature: Work on the fleet runs at most once, and to its end

  Workers crash and come back, orders and answers cross, owners sleep and die and
  the store is late, in orders that nobody would think of. What the workers saw is
  compared with a few lines for each promise.

  Scenario: No task runs twice at once or again after its end, and every job ends
    Then 120 runs of 20 steps with owners, a store and a fleet keep every promise
