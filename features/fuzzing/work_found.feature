Feature: Faults of work on the fleet that were found stay found

  Each of these is a short run that broke a promise once, over the real coordination
  code on a paused clock.

  Scenario: A job whose end only the next owner hears of is still known
    The owner dies while a render runs. The render ends well before another process
    schedules, so its worker tells the new owner in the answer to the first look. The
    owner noted it as ended in 1970, removed its records ten seconds later, and the
    caller was told that there never was such a job.
    Given a fleet in trouble with 2 processes of ours
    When a job of tasks of 1 s is handed in to the fleet in trouble
    And 0.3 s pass in the fleet in trouble
    And the owner of the fleet in trouble is killed
    And 30 s pass in the fleet in trouble
    Then the job on the fleet in trouble is known as completed

  Scenario: Another writer's entry names the address of a worker at work
    An entry that no worker wrote names the address of a live one, or that of its
    former life still does. Taken for the worker's successor, it ended the worker's life
    in the owner's eyes, and what ran there was started a second time beside it.
    Given a fleet in trouble with 2 processes of ours
    When a job of gang after tasks of 0.5 s is handed in to the fleet in trouble
    And 0.05 s pass in the fleet in trouble
    And an entry 000-other names the address of v1 in the fleet in trouble
    And 10 s pass in the fleet in trouble
    Then the job on the fleet in trouble is known as completed
