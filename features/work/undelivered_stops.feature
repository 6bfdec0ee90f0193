Feature: What an owner has recorded takes effect after it
  Guards against a decision whose consequences only its owner knows.

  Background:
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And 3 processes of ours

  Scenario Outline: An owner ends between the record of a cancellation and its stops
    Guards against runs of a cancelled job that no owner ever stops.
    Given the tasks of a1 take 600 s
    When job a1 is handed in with steps
      | count | accelerators | gang   |
      | 2     | 8            | <gang> |
    And a1 runs on the fleet
    And worker w1 is cut off
    And job a1 is cancelled
    And 0.3 s pass
    And the scheduling process <ends>
    And worker w1 is back under its name
    Then another process schedules within 2.5 s
    And nothing of a1 runs after 1 s
    When the store serves every process
    Then job a1 is shown as cancelled within 1 s
    And the records of a1 are removed within 15 s

    Examples:
      | ends                             | gang |
      | dies                             | no   |
      | dies                             | yes  |
      | hands over                       | no   |
      | is turned away by the store      | no   |

  Scenario Outline: An owner ends between the record of a failure and its stops
    Guards against runs of a failed job that no owner ever stops.
    Given the tasks of b1 take 600 s
    And task 0 of b1 fails at its end, each time after 0.2 s
    When job b1 is handed in with steps
      | count | accelerators | most per worker |
      | 2     | 5            | 1               |
    And task 1 of b1 runs
    And the worker of task 1 of b1 is cut off
    Then job b1 is shown as failed within 5 s
    When the scheduling process <ends>
    And the worker that was cut off is back
    Then another process schedules within 2.5 s
    And nothing of b1 runs after 1 s
    And the records of b1 are removed within 15 s

    Examples:
      | ends       |
      | dies       |
      | hands over |

  Scenario Outline: A start of a cancelled job is carried out late
    Guards against a run that begins after its job was cancelled, and that no owner
    stops.
    Given the next <orders> orders to worker w1 are carried out <late> s late
    And the tasks of d1 take 600 s
    When job d1 is handed in with steps
      | count | accelerators |
      | 2     | 8            |
    And <before> s pass
    And job d1 is cancelled
    And <until> s pass
    And the scheduling process <ends>
    Then another process schedules within 2.5 s
    When 13 s pass
    Then nothing of d1 runs after 0 s
    And job d1 is shown as cancelled within 1 s
    And the records of d1 are removed within 15 s

    Examples:
      | orders | late | before | until | ends       |
      | 1      | 2    | 0.3    | 0.1   | dies       |
      | 3      | 5    | 0.6    | 0     | dies       |
      | 3      | 11   | 0.6    | 0.3   | hands over |
      | 4      | 11   | 2      | 0.3   | dies       |
      | 6      | 8    | 0.1    | 0.1   | dies       |
      | 6      | 12   | 0.1    | 3     | hands over |

  Scenario: A cancelled job's record can't be read
    Guards against runs that no owner stops since it knows no job of theirs.
    Given the tasks of c1 take 600 s
    When job c1 is handed in with steps
      | count | accelerators |
      | 2     | 8            |
    And c1 runs on the fleet
    And worker w1 is cut off
    And job c1 is cancelled
    And 0.3 s pass
    And the scheduling process dies
    And the record of c1 is overwritten
    And worker w1 is back under its name
    Then another process schedules within 2.5 s
    And nothing of c1 runs after 1 s
