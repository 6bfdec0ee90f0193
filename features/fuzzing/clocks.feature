Feature: A worker's lease is judged rightly whatever one of its answers tells

  Scenario: One wrong time never makes a lease count as over while tasks run by it
    Then 2000 drawn call sequences with 1 wrong time end no lease early

  Scenario: Two times that are far off, and alike, don't either
    Then 2000 drawn call sequences with 2 times far off end no lease early

  Scenario: The first two times are wrong, alike, and five seconds apart
    Guards against a lease that counts as over while the worker, which shortened it to
    the longest allowed, still runs its tasks.
    Then calls at these times end no lease early
      | pause | wrong | lost |
      | 0     | 7     | no   |
      | 5     | 0     | yes  |
      | 0     | 7     | no   |
      | 1     | 0     | no   |

  Scenario: A lease is over in time, after a wrong time too
    Then 1000 drawn call sequences with 1 wrong time end each lease in time
