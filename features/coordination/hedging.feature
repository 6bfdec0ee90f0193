Feature: Hedged requests use the retry budget

  Every fourth answer of the targets is late, so the entry sends those requests a second
  time. If every late answer caused a second request, a slow hour would raise the load
  on the targets by a quarter while they are slow, and callers would wait longer than
  without hedging.

  Scenario: Hedges add at most a tenth to the load
    When 1000 urgent requests are sent and every fourth answer is late
    Then the targets were sent at most 1110 requests in all

  Scenario: Answers within a few milliseconds cause no hedged request
    When 1000 urgent requests are answered within a millisecond
    Then the targets were sent exactly 1000 requests
