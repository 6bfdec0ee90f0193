Feature: Faults of work on the fleet that were found stay found

  Regression tests. Each is a short run that once violated an invariant, over the real
  coordination code on a paused clock.

  Scenario: A job whose end only the next owner hears of is still known
    The owner dies while a render runs. The render completes before another process
    schedules, so its worker reports the end to the new owner in the answer to the first
    poll. The owner recorded it as ended in 1970 and removed its records ten seconds
    later, so the caller was told that there never was such a job.
    Given a fuzzed fleet with 2 processes of ours
    When a job of tasks of 1 s is submitted to the fuzzed fleet
    And 0.3 s pass in the fuzzed fleet
    And the owner of the fuzzed fleet is killed
    And 30 s pass in the fuzzed fleet
    Then the job on the fuzzed fleet is known as completed

  Scenario: Another writer's entry names the address of a worker at work
    An entry that no worker wrote has the address of a live one, or the entry of that
    worker's former incarnation still has it. The owner took it for the worker's
    successor and counted the worker's incarnation as ended, and what ran there was
    started a second time beside it.
    Given a fuzzed fleet with 2 processes of ours
    When a job of gang after tasks of 0.5 s is submitted to the fuzzed fleet
    And 0.05 s pass in the fuzzed fleet
    And an entry 000-other names the address of v1 in the fuzzed fleet
    And 10 s pass in the fuzzed fleet
    Then the job on the fuzzed fleet is known as completed
