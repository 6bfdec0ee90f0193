Feature: The pages for operators and callers say what the code does

  A page that differs from the code costs its reader a refused change at best, and a
  second run of work at worst.

  Scenario: The page of errors is the table of errors
    Then docs/errors.md is as the table of errors makes it

  Scenario: The page of settings is the settings and their checks
    Then docs/settings.md is as the settings make it
    And every setting has a meaning on docs/settings.md
    And docs/settings.md has each scheduling feature, with what auto means

  Scenario: The operators' page names only commands and metrics that exist
    Then each command on docs/OPERATIONS.md exists
    And each program setting on docs/OPERATIONS.md exists
    And each warning that a program logs stands on docs/OPERATIONS.md, and no other
