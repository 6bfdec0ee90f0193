Feature: A job that was said not to exist never runs
  Guards against a cancel that finds no job whose submission the store carries out later.

  Background:
    Given a fleet of 2 workers with 8 accelerators in 1 racks
    And 3 processes of ours
    And each task takes 2 s

  Scenario Outline: A submission lands after its cancel was answered
    Guards against a job that runs although its caller was told that there is none.
    When the write of j1, submitted at p1, is carried out 5.5 s late
    And the caller cancels j1 at <first>
    And the caller cancels j1 at <second>
    And <meanwhile>
    And 12 s pass
    Then the cancels were answered "no such job"
    And 0 tasks of j1 were started in 1 s
    And the state of job j1 at p3 is none

    Examples:
      | first | second | meanwhile                                |
      | p2    | p3     | 0 s pass                                 |
      | p1    | p1     | 0 s pass                                 |
      | p2    | p2     | the scheduling process dies              |
      | p2    | p2     | all processes die and are back after 1 s |
      | p2    | p3     | the store drops its history              |

  Scenario: Two processes answer cancels of one id at once
    Guards against a cancel that fails because another one was quicker.
    When the write of j1, submitted at p1, is carried out 5.5 s late
    And p2 and p3 answer cancels of j1 at once
    And 12 s pass
    Then the cancels were answered "no such job"
    And 0 tasks of j1 were started in 1 s

  Scenario: A cancel comes while its submission is under way
    Guards against an unknown outcome where the cancel has settled it.
    When the write of j1, submitted at p1, is carried out 5.5 s late, and p2 is asked to cancel j1 meanwhile
    Then the cancels were answered "no such job"
    And the submission was answered cancelled
    And 0 tasks of j1 were started in 10 s

  Scenario: The first try is refused, and the second one lands after the cancel
    Guards against taking the refusal of one try for that of all.
    When p1 is refused by the store
    And the caller submits j1 at p1
    Then the submission was answered store_unavailable
    When the write of j1, submitted at p2, is carried out 5.5 s late
    And the caller cancels j1 at p3
    And 12 s pass
    Then the cancels were answered "no such job"
    And 0 tasks of j1 were started in 1 s

  Scenario: The job lands between the look for it and the record of its cancel
    Guards against leaving a job uncancelled that was there after all.
    When p2 looks for j1 to cancel it, and p1 accepts it just after
    Then the cancels were answered "cancelled"
    And the submission was answered accepted
    And the state of job j1 at p3 is cancelled within 2 s
    And nothing of j1 runs after 1 s

  Scenario Outline: The same id is submitted after its cancel
    Guards against an answer that differs from what a query shows.
    When the caller cancels j1 at p1
    And <seconds> s pass
    And the caller submits j1 at p2
    Then the cancels were answered "no such job"
    And the submission was answered <answer>
    And the state of job j1 at p3 is <state>

    Examples:
      | seconds | answer    | state                |
      | 0       | cancelled | none                 |
      | 50      | cancelled | none                 |
      | 120     | accepted  | completed within 5 s |

  Scenario Outline: Somebody else cancels the id
    Guards against a cancel that stops or bars another organisation's job, or tells
    whether there is one.
    Given the queue urgent is public
    When <organisation> cancels j1 in <queue>
    And the caller submits j1 at p2
    And <organisation> cancels j1 in <queue>
    Then the cancels were answered "no such job"
    And the submission was answered accepted
    And the state of job j1 at p3 is running within 2 s

    Examples:
      | organisation | queue  |
      | post         | usual  |
      | domes        | urgent |
      | nobody       | urgent |

  Scenario Outline: Whoever may cancel a job also bars its late submission
    Guards against a promise to callers without a key that a submission with one breaks.
    Given the queue urgent is public
    When <organisation> cancels j1 in urgent
    And <sender> submits j1 to urgent at p2
    Then the cancels were answered "no such job"
    And the submission was answered <answer>

    Examples:
      | organisation | sender | answer    |
      | nobody       | nobody | cancelled |
      | nobody       | domes  | cancelled |
      | domes        | domes  | cancelled |
      | domes        | nobody | accepted  |

  Scenario Outline: The store fails while a cancel is answered
    Guards against "no such job" from a process that could not make sure of it.
    When <fault>
    And the caller cancels j1 at p2
    Then the cancel was answered <answer>

    Examples:
      | fault                                     | answer            |
      | p2 is refused by the store                | store_unavailable |
      | the answers to the next 1 writes are lost | store_answer_lost |
      | the store refuses every change            | store_unavailable |

  Scenario: The lease of earlier records has expired
    Guards against "no such queue" for a cancel, and against records without an end.
    When the caller cancels j1 at p2
    And every lease of a cancelled id expires
    And the caller cancels j2 at p2
    Then the cancels were answered "no such job"
    When the caller submits j2 at p1
    Then the submission was answered cancelled

  Scenario: Anybody cancels any number of ids that never existed
    Guards against callers who fill the store, or use up its calls, with cancels.
    When 500 unknown ids are cancelled at p1 at once
    Then at least 10 and at most 40 of them were answered "no such job"
    And the others were answered overloaded
    And at most 40 records of them are in the store
    When 100 s pass
    Then at most 0 records of them are in the store
    And the caller cancels j1 at p1
    And the cancels were answered "no such job"
