Feature: What is queued, refused and given up

  Scenario: Queue and router agree with a simple oracle
    Arrivals, ends, cancellations, grants, refusals and leaving targets come in
    any order. A caller would notice a request that is lost, run twice, answered
    twice, or sent to a target that has no slot for it.
    Then 400 runs of the request machine keep to the oracle

  Scenario: Patient work is never starved by urgent work
    Urgent work arrives without end. Patient work would wait for ever if urgent
    work always went first.
    Given a queue with 2 slots
    And 400 urgent and 20 patient requests of one second wait
    When the queue is emptied one by one
    Then at most 5 urgent requests leave between two patient ones

  Scenario: A full queue refuses the big sender and keeps room for others
    A producer sends an archive of ten thousand passes at once. The next clerk of
    another organisation would be refused for want of a place.
    Given a queue with 8 slots and room for 300 requests
    When organisation "big" offers 10000 patient requests
    Then it is refused as "queue_full"
    And one urgent request of organisation "small" is queued
    And one patient request of organisation "small" is queued

  Scenario: Callers that come back when told to are let in
    Hundreds are refused within a second. Told the same time, they would all come
    back at once and be refused again.
    Given a queue with 8 slots
    When 400 urgent requests arrive at once and the refused come back as told
    Then at least 80 in 100 of those that come back are let in

  Scenario: A request that has become hopeless is answered before its deadline
    The slots go from 40 to 2 while 150 requests wait. Most of them can not be
    served in time any more, and their callers would wait for nothing.
    Given a queue with 40 slots
    And 150 patient requests of one second wait
    When only 2 slots are left for 4 seconds
    Then at least 100 requests have been given up, each 3 seconds before its deadline

  Scenario: A slow spell does not shut a class out for good
    For a minute a class took longer than its callers wait, so it is refused by
    experience. When it is fast again, nobody would find out.
    Given a queue with 8 slots
    When a class has taken 60 seconds in each of 100 runs
    And it is offered each second, and takes one second when it runs
    Then it is let in again within 60 seconds

  Scenario: Thousands are cancelled without a search for each
    A wave of cancellations names most of a long queue. If each were searched for,
    the entry would stand still for everyone.
    Given a queue with 1000 slots and room for 6000 requests
    And 2500 patient requests of one second wait
    When all but each tenth are cancelled in one wave
    Then the rest leave in their old order
