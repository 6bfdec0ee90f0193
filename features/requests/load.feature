Feature: Short requests under load and faults

  The same arrivals go through six entries to 24 workers of 8 slots, on a virtual
  clock. Measured is what callers get: an answer in time, or a refusal early enough
  to do something else.

  Scenario: Overload does not delay admitted requests
    All counters open at once, and three times as many quotes arrive as the slots
    can serve. Without admission control every answer would come just after its
    caller's deadline.
    When the workload "saturation-3x" runs
    Then no refusal comes after the deadline of its request
    And at least 95 in 100 as many requests as in "capacity" are answered in time
    And urgent work starts within 5.8 seconds in 99 of 100 cases
    And patient work gets at least 15 in 100 of the slot time
    And fewer than 2 in 100 requests are admitted and then dropped

  Scenario: A burst passes without late refusals
    A whole team requests previews within four seconds. The queue must not stay long
    after the burst.
    When the workload "bursts" runs
    Then no refusal comes after the deadline of its request
    And urgent work starts within 5.8 seconds in 99 of 100 cases

  Scenario: One organisation's overload does not delay the others
    One organisation sends twice what all slots can serve, half of it through one
    entry. Without fair queueing the other three would wait because of it.
    When the workload "skew" runs
    Then at least 99 in 100 requests of "b, c, d" are answered in time
    And urgent work starts within 5.8 seconds in 99 of 100 cases

  Scenario: One slow target hardly changes the tail latency
    A worker's cooling fails and it runs ten times slower. It still answers, so no
    health check reports it, and one caller in 24 would wait ten times as long.
    When the workload "one-slow-target" runs
    Then the 99th percentile of answer times is at most 1.3 times that of "even-fleet"

  Scenario: One slow target hardly changes the tail latency of similar run times
    With run times that differ little, the tail would consist of the slow target's.
    When the workload "even-runs-slow-target" runs
    Then the 99th percentile of answer times is at most 1.3 times that of "even-runs"

  Scenario: Long patient work does not occupy every slot when urgent work arrives
    Overnight tables that run for eight seconds fill the slots. Without slots kept
    free, a quote that arrives just after would wait until one of them ends.
    When the workload "long-short" runs
    Then urgent work starts within 5.8 seconds in 99 of 100 cases
    And at least 99 in 100 requests of "a, c" are answered in time

  Scenario: Mass cancellation does not delay other requests
    A producer cancels thousands of caption passes at once. If each were searched for
    in the queue, urgent work would wait meanwhile.
    When the workload "cancellation-waves" runs
    Then at least 99 in 100 requests of "a" are answered in time
    And no refusal comes after the deadline of its request

  Scenario: Workers that fail every request do not attract all requests
    Three workers fail each request at once. They are always idle, so least-loaded
    routing alone would prefer them, and requests would fail one after another.
    When the workload "failing-workers" runs
    Then at least 99 in 100 requests of "a, b, c, d" are answered in time
    And retries and hedges add at most 10 in 100 attempts

  Scenario: When half of the fleet leaves, late requests are refused at once
    Twelve workers leave while the queue is long. Requests that can no longer meet
    their deadlines must be refused then, and not at the deadline.
    When the workload "half-the-fleet-leaves" runs
    Then no refusal comes after the deadline of its request
    And a worker that reported leaving gets at most one more request from each entry

  Scenario: Declared run times that are far too long do not refuse a class for long
    A class is declared to take thirty seconds and takes one. With the declared time
    it could never be served within its deadline of ten.
    When the workload "declared-far-off" runs
    Then at least 95 in 100 as many requests as in "capacity" are answered in time
