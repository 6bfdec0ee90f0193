Feature: A second sending is paid for from the retry budget

  Every fourth answer of the targets is late, so the entry sends those requests a
  second time. If each late answer could cause one, a slow hour would raise the
  load on the targets by a quarter just when they are slow, and callers would wait
  longer than without.

  Scenario: Hedges add at most a tenth to the load
    When 1000 urgent requests are sent and every fourth answer is late
    Then the targets were sent at most 1110 requests in all

  Scenario: Answers within a few milliseconds are not worth a second sending
    When 1000 urgent requests are answered within a millisecond
    Then the targets were sent exactly 1000 requests
