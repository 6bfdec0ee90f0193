Feature: Every error kind has one correct answer

  Guards against work that runs twice. A caller retries after "not run", so a kind that
  is missing from the table, or that says "not run" about work that may have reached a
  target, leads to a second run.

  Scenario: Each kind is in the table with a remedy
    Then each error kind has an answer with a status and a remedy

  Scenario: Kinds of work that reached a target say that it may have run
    Then the kinds that may have run are exactly those that reached a target
