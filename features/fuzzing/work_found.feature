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
