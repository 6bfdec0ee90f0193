Feature: Every error kind has one honest answer

  A caller that reads "not run" sends the work again. If a kind were missing
  from the table, or said "not run" about work that may have reached a target,
  the caller would have it run twice.

  Scenario: Each kind stands in the table with a remedy
    Then each error kind has an answer with a status and a remedy

  Scenario: What may have run never invites a blind retry as if it had not
    Then the kinds that may have run are exactly those that reached a target
