Feature: The number of waiting jobs that callers are told

  Background:
    Given a fleet of 10 workers with 8 accelerators in 2 racks
    And 2 processes of ours
    And every task takes 60 s

  Scenario: Counting what waits doesn't read what runs
    Guards against every VM reading, and keeping, all open jobs of a large fleet to
    answer with one number.
    Given 20 jobs of 4 tasks run, and 3 wait
    When 1 callers ask p1 for the number of waiting jobs at once
    Then each is told 3
    And p1 has read at most 1000 bytes for that

  Scenario Outline: The keys of waiting jobs disagree with the jobs
    Guards against callers who are told a wrong number while VMs of two versions serve.
    Given 20 jobs of 4 tasks run, and 3 wait
    And <wrong>
    When the scheduling process dies
    And 6 s pass
    Then another process counts 3 waiting jobs

    Examples:
      | wrong                                           |
      | the key of a waiting job is missing             |
      | the key of a job that has begun is still there  |
      | the key of a job that is gone is still there    |

  Scenario: A job that is cancelled before it starts waits no more
    Given 20 jobs of 4 tasks run, and 3 wait
    When one of those that wait is cancelled
    And 1 s pass
    Then another process counts 2 waiting jobs
