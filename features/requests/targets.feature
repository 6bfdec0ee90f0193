Feature: Which target gets a request, and who may use its slots

  Scenario: Grants never exceed a worker's slots
    Entries join and vanish, owners change, grants are lost or late. Two entries
    that believe they hold the same slot would overload the worker.
    Then 400 runs of the grant machine keep to the oracle

  Scenario: A grant that was cut counts in full until it has lapsed
    The message with the smaller grant is lost, so the entry goes on using the
    larger one. Its slots must not be given to another meanwhile.
    Given 3 entries that share 4 workers of 8 slots
    When the owner grants by a demand of 100, 0 and 3 for 10 seconds
    And it grants by a demand of 0, 100 and 3, of which entry 1 hears nothing
    Then at no time do the grants together exceed 8 slots of a worker

  Scenario: A grant that arrives late counts from its arrival
    The message takes the longest time allowed for it, and the entry believes the
    grant for as much longer.
    Given 3 entries that share 4 workers of 8 slots
    When the owner grants by a demand of 100, 0 and 3 and is heard 1 second late
    And it grants by a demand of 0, 100 and 3, of which entry 1 hears nothing
    Then at no time do the grants together exceed 8 slots of a worker

  Scenario: The death of a cell's owner frees no slot twice
    The owner dies and grants lapse one after another. An entry that fell back to
    its full safe share too early would use a slot that another still holds.
    Given 3 entries that share 4 workers of 8 slots
    When the owner grants by a demand of 100, 0 and 3 and then dies
    Then at no time do the entries together use more than 8 slots of a worker
    And after 8 seconds they use all slots again

  Scenario: An idle entry's slots go to the one that needs them
    The balancer sends a bulk sender to one entry. It would queue while slots of
    the others stand idle.
    Given 3 entries that share 4 workers of 8 slots
    When the owner grants by a demand of 100, 0 and 3 for 10 seconds
    Then entry 1 may use at least 18 slots and each other at least 1

  Scenario: An entry whose queue is empty keeps the slots that it uses
    Twenty requests run at one entry and none wait, while the others are idle. By
    its queue alone it would lose its slots, queue, and get them back in turns.
    Given 3 entries that share 4 workers of 8 slots
    When 20 requests run at entry 1 and the owner grants for 10 seconds
    Then entry 1 may use at least 20 slots and each other at least 1

  Scenario: With more entries than slots each worker has a few entries
    A hundred entries and a worker that takes 64 connections: if each entry kept
    one, the worker would refuse the rest.
    Given 100 entries that share 500 workers of 8 slots without grants
    Then each worker is used by 8 entries and each entry has some worker

  Scenario: A target that says it leaves gets nothing more
    The list of VMs lags, and still shows the target. New work would be cut off
    as soon as it goes.
    Given a router with 3 targets
    When "target-1" says that it leaves
    Then none of 60 choices is "target-1"

  Scenario: A target that answers at once does not hold the entry up
    Answers come within the step of the loop's clock, so an attempt is looked at
    in the moment at which it began. Twice an age of nothing is nothing: the entry
    would look at it for ever, and all its callers would wait in vain.
    Given an attempt that began at this moment and is expected to take no time
    When attempts that run too long are looked for at this moment
    Then the search ends

  Scenario: A target that refuses is left alone for a moment
    Another entry uses its slots. Asked again at once, it would refuse again and
    cost a round trip each time.
    Given a router with 3 targets
    When "target-1" refuses a request
    Then none of 60 choices is "target-1"
    And after 1 second "target-1" is chosen again

  Scenario: A bad target is tried again, first with work that may run twice
    A target that was set aside has recovered. Never tried, it would stand idle
    for ever; tried with work that must not run twice, it might do harm.
    Given a router with 3 targets
    When "target-1" fails 3 requests
    Then none of 60 choices is "target-1"
    And after 6 seconds a non-idempotent request avoids "target-1"
    And after 6 seconds a patient idempotent request goes to "target-1"
    And once that has succeeded "target-1" is chosen again

  Scenario: When all targets are bad, most are used all the same
    A bad release makes every target fail. If all were set aside, nothing would
    even be tried.
    Given a router with 8 targets
    When every target fails 5 requests
    Then at least 6 targets are still chosen

  Scenario: Retries stop when most requests fail
    A third of the fleet fails. If each failure were retried until it succeeds,
    the rest would get twice the load and fail as well.
    Given a router with 3 targets
    When 1000 requests are sent and each asks for a retry
    Then at most 103 retries are allowed

  Scenario: Only urgent work that may run twice is hedged
    A second copy of a caption pass bills the client twice; a second copy of work
    that nobody waits for is waste.
    Given a router with 3 targets
    When 100 runs of each kind of work take 1 second
    Then only urgent idempotent work is hedged

  Scenario: Long patient work leaves a slot for the first urgent request
    A bulk of long patient work comes in a quiet hour. If it took every slot, a
    quote a moment later would wait until one of them ends.
    Given a router with 1 targets
    When patient requests that run for 60 seconds start as long as one may
    Then 7 of 8 slots are used and an urgent request still gets one

  Scenario: Long patient work gets its kept share beside a flood of urgent work
    Urgent work uses every slot there is. If it kept long patient work out, the
    overnight tables would never be ready.
    Given a router with 5 targets
    When urgent requests take every slot for 100 seconds and then 10 of them end
    Then 8 patient requests that run for 60 seconds may start
