Feature: Work on the fleet runs at most once, and to its end

  Workers crash and come back, orders and answers overtake each other, owners are
  suspended and die and the store is late, in random order. What the workers saw is
  checked against a few lines for each invariant.

  Scenario: No task runs twice at once or again after its end, and every job ends
    Then 120 runs of 20 steps with owners, a store and a fleet hold every invariant
