Feature: Routing of requests to targets, and grants of their slots

  Scenario: Grants never exceed a worker's slots
    Entries join and vanish, owners change, grants are lost or late. Two entries
    with a grant of the same slot would overload the worker.
    Then 400 runs of the grant machine agree with the oracle

  Scenario: A reduced grant counts in full until it has lapsed
    The message with the smaller grant is lost, so the entry still uses the larger
    one. Its slots must not be granted to another meanwhile.
    Given 3 entries that share 4 workers of 8 slots
    When the owner grants by a demand of 100, 0 and 3 for 10 seconds
    And it grants by a demand of 0, 100 and 3, which entry 1 does not receive
    Then at no time do the grants together exceed 8 slots of a worker

  Scenario: A grant that arrives late counts from its arrival
    The message takes the longest delivery time allowed, and the entry uses the grant
    for that much longer.
    Given 3 entries that share 4 workers of 8 slots
    When the owner grants by a demand of 100, 0 and 3, received 1 second late
    And it grants by a demand of 0, 100 and 3, which entry 1 does not receive
    Then at no time do the grants together exceed 8 slots of a worker

  Scenario: No slot is used twice after a cell's owner dies
    The owner dies and grants lapse one after another. An entry that falls back to
    its full safe share too early would use a slot that another still holds.
    Given 3 entries that share 4 workers of 8 slots
    When the owner grants by a demand of 100, 0 and 3 and then dies
    Then at no time do the entries together use more than 8 slots of a worker
    And after 8 seconds they use all slots again

  Scenario: An idle entry's slots go to the one that needs them
    The load balancer sends a bulk sender to one entry. With even shares it would
    queue while the slots of the others are idle.
    Given 3 entries that share 4 workers of 8 slots
    When the owner grants by a demand of 100, 0 and 3 for 10 seconds
    Then entry 1 may use at least 18 slots and each other at least 1

  Scenario: An entry whose queue is empty keeps the slots that it uses
    Twenty requests run at one entry and none wait, while the others are idle. With
    its queue alone as demand it would alternately lose and regain its slots.
    Given 3 entries that share 4 workers of 8 slots
    When 20 requests run at entry 1 and the owner grants for 10 seconds
    Then entry 1 may use at least 20 slots and each other at least 1

  Scenario: With more entries than slots each worker has a few entries
    There are a hundred entries, and a worker accepts 64 connections: if each entry
    kept one open, the worker would refuse the rest.
    Given 100 entries that share 500 workers of 8 slots without grants
    Then each worker is used by 8 entries and each entry has some worker

  Scenario: A target that reports that it is leaving gets no more requests
    The list of VMs lags, and still shows the target. It would abort new requests as
    soon as it leaves.
    Given a router with 3 targets
    When "target-1" reports that it is leaving
    Then none of 60 choices is "target-1"

  Scenario: A target that answers at once does not block the entry
    Answers come within the resolution of the loop's clock, so an attempt is checked
    at the time at which it began, with an age of 0. Twice that age is still 0: the
    entry would check the attempt in an endless loop and answer no caller.
    Given an attempt that began at this moment and is expected to take no time
    When stragglers are collected at this moment
    Then the collection ends

  Scenario: A target that refuses is paused for a moment
    Another entry uses its slots. Asked again at once, it would refuse again and
    cost a round trip each time.
    Given a router with 3 targets
    When "target-1" refuses a request
    Then none of 60 choices is "target-1"
    And after 1 second "target-1" is chosen again

  Scenario: An ejected target is probed, with idempotent work only
    An ejected target has recovered. Without a probe it would be idle for ever; a
    probe with work that must not run twice might do harm.
    Given a router with 3 targets
    When "target-1" fails 3 requests
    Then none of 60 choices is "target-1"
    And after 6 seconds a non-idempotent request avoids "target-1"
    And after 6 seconds a patient idempotent request goes to "target-1"
    And once that has succeeded "target-1" is chosen again

  Scenario: Failing targets do not get all requests while the others are full
    Half of the targets fail at once, more than may be ejected, and the others are
    full. The failing ones are always free, so all queued requests would be sent to
    them and be answered as possibly run, where they could have been refused.
    Given a router with 8 targets
    When the first 4 targets fail 3 requests each and the others are full
    Then at most 8 of 1000 requests within a second are sent there

  Scenario: When all targets are bad, most are still used
    A bad release makes every target fail. If all were ejected, no request would be
    sent at all.
    Given a router with 8 targets
    When every target fails 5 requests
    Then at least 6 targets are still chosen

  Scenario: Retries stop when most requests fail
    A third of the fleet fails. If each failure were retried until it succeeds, the
    other targets would get twice the load and fail as well.
    Given a router with 3 targets
    When 1000 requests are sent and each asks for a retry
    Then at most 103 retries are allowed

  Scenario: Only urgent idempotent work is hedged
    A second copy of a caption pass bills the client twice; a second copy of patient
    work is waste.
    Given a router with 3 targets
    When 100 runs of each kind of work take 1 second
    Then only urgent idempotent work is hedged

  Scenario: Long patient work leaves a slot for the first urgent request
    A bulk of long patient work arrives while there is no urgent work. If it took
    every slot, a quote just after would wait until one of them ends.
    Given a router with 1 targets
    When patient requests that run for 60 seconds start as long as one may
    Then 7 of 8 slots are used and an urgent request still gets one

  Scenario: Long patient work gets its share under a lasting load of urgent work
    Urgent work uses every slot. If it excluded long patient work, the overnight
    tables would never be ready.
    Given a router with 5 targets
    When urgent requests take every slot for 100 seconds and then 10 of them end
    Then 8 patient requests that run for 60 seconds may start
