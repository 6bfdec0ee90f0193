Feature: A worker's word is believed only as far as other words bear it out
  A worker that is well most of the time answers with a figure that is wrong once: a
  fault of its memory, a bug, something between. Taken at its word, it has its tasks
  started a second time elsewhere, while they run or after they have ended well; their
  callers are billed twice.

  Background:
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And 2 processes of ours

  Scenario Outline: A worker tells a wrong time once and is cut off
    Its lease is judged by its own time. One time that is far ahead makes the lease seem
    long over as soon as the worker falls silent, and has longer ones asked for than are
    waited out.
    Given the tasks of t1 take 30 s
    When job t1 is handed in with steps
      | count | accelerators |
      | 4     | 8            |
    And t1 runs on the fleet
    And worker w1 tells a time that is <wrong> s wrong in its next <count> answers
    And <then> s pass
    And worker w1 is cut off
    And worker w5 is new in the list
    Then job t1 is shown as completed within 60 s
    And the fleet's ledger shows nothing wrong

    Examples: far ahead, a little ahead, behind; silent at once or later
      | wrong | count | then |
      | 3600  | 1     | 0    |
      | 3600  | 1     | 2    |
      | 1     | 1     | 0    |
      | 2     | 1     | 0    |
      | -3600 | 1     | 0    |
      | 3600  | 2     | 0    |
      | 3600  | 20    | 0    |
      | 3600  | 20    | 3    |

  Scenario Outline: The first time that a new owner is told is wrong
    It has nothing to compare that time with.
    Given the tasks of t2 take 30 s
    When job t2 is handed in with steps
      | count | accelerators |
      | 4     | 8            |
    And t2 runs on the fleet
    And the scheduling process dies
    And worker w1 tells a time that is <wrong> s wrong in its next 1 answers
    And <then> s pass
    And worker w1 is cut off
    And worker w5 is new in the list
    Then job t2 is shown as completed within 60 s
    And the fleet's ledger shows nothing wrong

    Examples:
      | wrong | then |
      | 3600  | 0    |
      | 3600  | 5    |
      | -3600 | 0    |
      | -3600 | 5    |

  Scenario: A worker's clock jumps for good
    It was wrong before or is wrong now; nobody can tell which. What it runs ends by its
    own word, and the worker must be of use again: otherwise one with a clock that was
    set gets no lease any more, and each task on it lapses.
    Given the tasks of t3 take 4 s
    When worker w1 tells a time that is 3600 s wrong in its next 100000 answers
    And 12 s pass
    And job t3 is handed in with steps
      | count | accelerators |
      | 4     | 8            |
    Then job t3 is shown as completed within 12 s
    And the fleet's ledger shows nothing wrong

  Scenario Outline: A worker numbers an end too high once
    The worker forgets ends up to the number that it is told. Told one that is past its
    own, it forgets the next ends before anybody has heard of them, and what has ended
    well is run again.
    Given the tasks of n1 take 1 s
    And the tasks of n2 take 4 s
    When job n1 is handed in with steps
      | count | accelerators | most per worker |
      | 4     | 4            | 1               |
    And job n2 is handed in with steps
      | count | accelerators | most per worker |
      | 4     | 4            | 1               |
    And n2 runs on the fleet
    And each worker numbers the last end too high by <much> in its next <count> looks
    Then job n1 is shown as completed within 10 s
    And job n2 is shown as completed within 10 s
    And the fleet's ledger shows nothing wrong
    And every task of n2 was started once

    Examples:
      | much   | count |
      | 1      | 1     |
      | 1000   | 1     |
      | 900000 | 1     |
      | 1      | 2     |
      | 1000   | 2     |

  Scenario: A new owner is told a number that is too high
    It can't know up to which end the worker has forgotten for the owner before.
    Given the tasks of n3 take 1 s
    And the tasks of n4 take 8 s
    When job n3 is handed in with steps
      | count | accelerators | most per worker |
      | 4     | 4            | 1               |
    And job n4 is handed in with steps
      | count | accelerators | most per worker |
      | 4     | 4            | 1               |
    And n4 runs on the fleet
    And each worker numbers the last end too high by 1000 in its next 1 looks
    And the scheduling process dies
    Then job n3 is shown as completed within 10 s
    And job n4 is shown as completed within 14 s
    And the fleet's ledger shows nothing wrong
    And every task of n4 was started once

  Scenario Outline: Two looks with a wrong number are far apart, as the store is slow
    Each look waits until the ends that it showed are stored. Two alike that are a second
    apart are no more than two.
    Given the tasks of n5 take 1 s
    And the tasks of n6 take 8 s
    When job n5 is handed in with steps
      | count | accelerators | most per worker |
      | 4     | 4            | 1               |
    And job n6 is handed in with steps
      | count | accelerators | most per worker |
      | 4     | 4            | 1               |
    And n6 runs on the fleet
    And the store takes <seconds> s for each call
    And each worker numbers the last end too high by 1 in its next 2 looks
    And 5 s pass
    And the store takes 0 s for each call
    Then job n5 is shown as completed within 10 s
    And job n6 is shown as completed within 12 s
    And the fleet's ledger shows nothing wrong

    Examples:
      | seconds |
      | 0.3     |
      | 0.4     |
      | 0.5     |
