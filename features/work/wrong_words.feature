Feature: A wrong figure in a worker's answers starts no task twice
  A healthy worker answers with one wrong figure, from a memory fault, a bug, or
  something between. If that figure were used unchecked, its tasks would be started a
  second time elsewhere, while they run or after they have completed, and their callers
  billed twice.

  Background:
    Given a fleet of 4 workers with 8 accelerators in 2 racks
    And 2 processes of ours

  Scenario Outline: A worker tells a wrong time once and is cut off
    The worker's lease is measured by its own clock. One time that is far ahead makes
    the lease seem long expired as soon as the worker is silent, and makes the owner
    request leases longer than it waits for.
    Given the tasks of t1 take 30 s
    When job t1 is handed in with steps
      | count | accelerators |
      | 4     | 8            |
    And t1 runs on the fleet
    And worker w1 returns a time that is <wrong> s wrong in its next <count> answers
    And <then> s pass
    And worker w1 is cut off
    And worker w5 is added to the list
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
    The new owner has no earlier time to compare it with.
    Given the tasks of t2 take 30 s
    When job t2 is handed in with steps
      | count | accelerators |
      | 4     | 8            |
    And t2 runs on the fleet
    And the scheduling process dies
    And worker w1 returns a time that is <wrong> s wrong in its next 1 answers
    And <then> s pass
    And worker w1 is cut off
    And worker w5 is added to the list
    Then job t2 is shown as completed within 60 s
    And the fleet's ledger shows nothing wrong

    Examples:
      | wrong | then |
      | 3600  | 0    |
      | 3600  | 5    |
      | -3600 | 0    |
      | -3600 | 5    |

  Scenario: A worker's clock jumps for good
    The clock was wrong before or is wrong now; which one can't be known. The ends of
    its runs are taken from its answers, and the worker must become usable again:
    otherwise a worker whose clock was set gets no lease any more, and each task on it
    lapses.
    Given the tasks of t3 take 4 s
    When worker w1 returns a time that is 3600 s wrong in its next 100000 answers
    And 12 s pass
    And job t3 is handed in with steps
      | count | accelerators |
      | 4     | 8            |
    Then job t3 is shown as completed within 12 s
    And the fleet's ledger shows nothing wrong

  Scenario Outline: A worker numbers an end too high once
    The worker drops the ends up to the acknowledged number. If that number is past its
    own, it drops the next ends before any owner has received them, and completed tasks
    are run again.
    Given the tasks of n1 take 1 s
    And the tasks of n2 take 4 s
    When job n1 is handed in with steps
      | count | accelerators | most per worker |
      | 4     | 4            | 1               |
    And job n2 is handed in with steps
      | count | accelerators | most per worker |
      | 4     | 4            | 1               |
    And n2 runs on the fleet
    And each worker numbers the last end too high by <much> in its next <count> polls
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
    The new owner can't know up to which end the former owner has acknowledged.
    Given the tasks of n3 take 1 s
    And the tasks of n4 take 8 s
    When job n3 is handed in with steps
      | count | accelerators | most per worker |
      | 4     | 4            | 1               |
    And job n4 is handed in with steps
      | count | accelerators | most per worker |
      | 4     | 4            | 1               |
    And n4 runs on the fleet
    And each worker numbers the last end too high by 1000 in its next 1 polls
    And the scheduling process dies
    Then job n3 is shown as completed within 10 s
    And job n4 is shown as completed within 14 s
    And the fleet's ledger shows nothing wrong
    And every task of n4 was started once

  Scenario Outline: Two polls with a wrong number are far apart, as the store is slow
    Each poll waits until the ends that it returned are stored. Two equal answers that
    are a second apart are no more than two.
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
    And each worker numbers the last end too high by 1 in its next 2 polls
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
