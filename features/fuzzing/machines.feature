Feature: Promises hold under faults in any order

  Processes are suspended and die, calls are lost, doubled and late, workers die, and
  the store goes down, in random order. What callers and workers saw is checked against
  a few lines for each invariant.

  Scenario: Gangs run whole and once, and nothing is stuck afterwards
    Then 60 runs of 30 steps with placers and workers hold every invariant

  Scenario: Requests run at most once, and what callers are told is true
    Then 60 runs of 30 steps with entries and targets hold every invariant

  Scenario: Accepted settings come into force and never revert
    Then 100 runs of 30 steps with operators and stores hold every invariant
