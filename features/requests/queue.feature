Feature: Requests that are queued, refused or dropped

  Scenario: Queue and router agree with a simple oracle
    Arrivals, ends, cancellations, grants, refusals and leaving targets occur in any
    order. No request may be lost, run twice, answered twice, or sent to a target
    that has no slot for it.
    Then 400 runs of the request machine agree with the oracle

  Scenario: Patient work is never starved by urgent work
    Urgent work keeps arriving. With strict priority, patient work would wait for
    ever.
    Given a queue with 2 slots
    And 400 urgent and 20 patient requests of one second wait
    When the queue is emptied one by one
    Then at most 5 urgent requests leave between two patient ones

  Scenario: A full queue refuses the bulk sender and keeps places for others
    A producer sends an archive of ten thousand passes at once. Without limits per
    organisation, the next request of another one would find no place.
    Given a queue with 8 slots and room for 300 requests
    When organisation "big" offers 10000 patient requests
    Then it is refused as "queue_full"
    And one urgent request of organisation "small" is queued
    And one patient request of organisation "small" is queued

  Scenario: Callers that retry after the time they were told are admitted
    Hundreds are refused within a second. With one retry time for all, they would
    all retry at once and be refused again.
    Given a queue with 8 slots
    When 400 urgent requests arrive at once and the refused retry as told
    Then at least 80 in 100 of the retries are admitted

  Scenario: A request that can't be served in time is dropped before its deadline
    The slots go from 40 to 2 while 150 requests wait. Most of them can no longer be
    served in time, and their callers would wait for nothing.
    Given a queue with 40 slots
    And 150 patient requests of one second wait
    When only 2 slots are left for 4 seconds
    Then at least 100 requests have been dropped, each 3 seconds before its deadline

  Scenario: A slow period does not block a class for ever
    For a minute a class took longer than its deadline, so it is refused by its
    measured run times. Without probes, its recovery would not be detected.
    Given a queue with 8 slots
    When a class has taken 60 seconds in each of 100 runs
    And it is offered each second, and takes one second when it runs
    Then it is admitted again within 60 seconds

  Scenario: Thousands are cancelled without a search for each
    A mass cancellation covers most of a long queue. If each request were searched
    for, the entry would block all other callers.
    Given a queue with 1000 slots and room for 6000 requests
    And 2500 patient requests of one second wait
    When all but each tenth are cancelled at once
    Then the rest leave in their original order
