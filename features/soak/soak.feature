Feature: Real processes under faults that overlap
  Three processes of ours, the stand-in of the platform and proxies between them run as
  on separate machines; signals, cuts, resets and lost answers are drawn by the seed and
  overlap. `python -m tools.soak` runs more seeds and longer ones.

  Scenario Outline: A seed that once failed keeps every promise
    Seed 1: a worker's answer to an order was lost and something between answered with
    500. It was taken for a refusal, and the run was started elsewhere while it ran.
    Its caller would have been billed twice.
    When soak seed <seed> runs for <seconds> s
    Then nothing was lost, nothing ran twice and what was refused did not run

    Examples:
      | seed | seconds |
      | 1    | 8       |
