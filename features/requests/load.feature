Feature: Short requests under load and faults

  The same arrivals go through six entries to 24 workers of 8 slots, on a virtual
  clock. What counts is what callers get: the answer in time, or a refusal early
  enough to do something else.

  Scenario: A flood beyond the capacity costs no one who was let in
    All counters open at once and three times as many quotes arrive as the slots
    can answer. If each were queued, every clerk would get an answer just after
    giving up, and the engines would work for nobody.
    When the workload "saturation-3x" runs
    Then no refusal comes after the deadline of its request
    And at least 95 in 100 as many requests as in "capacity" are answered in time
    And urgent work starts within 5.8 seconds in 99 of 100 cases
    And patient work gets at least 15 in 100 of the slot time
    And fewer than 2 in 100 requests are let in and then given up

  Scenario: A burst passes without late refusals
    A dome operator's whole team asks for previews in the same four seconds. A
    user notices a queue that is still long when the burst is over.
    When the workload "bursts" runs
    Then no refusal comes after the deadline of its request
    And urgent work starts within 5.8 seconds in 99 of 100 cases

  Scenario: One organisation's flood leaves the others untouched
    One organisation sends twice what all slots can answer, half of it through
    one entry. Clerks of the other three would notice a wait that they did not
    cause.
    When the workload "skew" runs
    Then at least 99 in 100 requests of "b, c, d" are answered in time
    And urgent work starts within 5.8 seconds in 99 of 100 cases

  Scenario: One slow target is hardly noticed
    A worker's cooling fails and it runs ten times slower. It still answers, so
    nothing reports it; one caller in 24 would wait ten times as long.
    When the workload "one-slow-target" runs
    Then the 99th percentile of answer times is at most 1.3 times that of "even-fleet"

  Scenario: One slow target is hardly noticed where run times are alike
    With run times that differ little, the slow target alone would make the tail.
    When the workload "even-runs-slow-target" runs
    Then the 99th percentile of answer times is at most 1.3 times that of "even-runs"

  Scenario: Long patient work does not hold every slot when urgent work comes
    Overnight tables that run for eight seconds fill the slots. Without slots kept
    free, a quote that comes a moment later would wait for one of them to end.
    When the workload "long-short" runs
    Then urgent work starts within 5.8 seconds in 99 of 100 cases
    And at least 99 in 100 requests of "a, c" are answered in time

  Scenario: A wave of cancellations leaves the rest in order
    A producer withdraws thousands of caption passes at once. A user would notice
    urgent work that waits while they are taken out one by one.
    When the workload "cancellation-waves" runs
    Then at least 99 in 100 requests of "a" are answered in time
    And no refusal comes after the deadline of its request

  Scenario: Workers that fail every request do not draw all requests in
    Three workers fail each request at once. Always idle, they look like the best
    targets; callers would notice one failure after another.
    When the workload "failing-workers" runs
    Then at least 99 in 100 requests of "a, b, c, d" are answered in time
    And retries and hedges add at most 10 in 100 attempts

  Scenario: When half of the fleet leaves, hopeless requests are told at once
    Twelve workers leave while the queue is long. What was promised can no longer
    be kept; a caller should hear so then, and not at the deadline.
    When the workload "half-the-fleet-leaves" runs
    Then no refusal comes after the deadline of its request
    And a worker that said it leaves gets at most one more request from each entry

  Scenario: Declared run times that are far too long refuse nobody for long
    A class is declared to take thirty seconds and takes one. Believed, it could
    never be served within its deadline of ten.
    When the workload "declared-far-off" runs
    Then at least 95 in 100 as many requests as in "capacity" are answered in time
