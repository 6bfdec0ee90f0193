Feature: Promises hold under faults in any order

  Processes sleep and die, calls are lost, doubled and late, the store goes down
  and workers die, in orders that nobody would think of. What callers and workers
  saw is compared with a few lines for each promise.

  Scenario: Gangs run whole and once, and nothing is stuck afterwards
    Then 60 runs of 30 steps with placers and workers keep every promise

  Scenario: Requests run at most once, and what callers are told is true
    Then 60 runs of 30 steps with entries and targets keep every promise

  Scenario: Accepted settings come into force and never revert
    Then 100 runs of 30 steps with operators and stores keep every promise
