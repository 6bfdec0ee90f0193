Feature: The command line answers with a sentence and an exit code

  Scripts act on the exit code, and people on the sentence; a traceback helps neither.

  Scenario Outline: Checking a file needs no connection
    When the command "settings check <file>" is run
    Then the command exits with <code>

    Examples:
      | file                               | code |
      | examples/domeworks/settings.json   | 0    |
      | examples/thistlegate/settings.json | 0    |
      | examples/domeworks/tokens.json     | 2    |
      | docs/design/overview.md                     | 2    |
      | examples/nothing.json              | 2    |

  Scenario: A fault is shown with path, reason and remedy
    Given a settings file whose first worker is in rack nowhere
    When the command "settings check FILE" is run
    Then the command exits with 2
    And the command shows "fleet.workers[0].rack: there is no rack 'nowhere'"
    And the command shows "Use a name that stands under fleet.racks"
    When the command "settings check FILE --json" is run
    Then the command exits with 2
    And the command's JSON holds a fault at fleet.workers[0].rack

  Scenario: An operator reads, changes, compares and rolls back
    Given a steward for the command line with the operator's token
    When the command "settings get policy" is run
    Then the command's JSON holds a queue_limit of 2000
    When the command "settings edit policy --set queue_limit=7 -m quieter" is run
    Then the command exits with 0
    When the command "settings diff examples/domeworks/settings.json" is run
    Then the command shows "+ "queue_limit": 2000"
    When the command "settings history policy" is run
    Then the command shows "revision 2 at"
    And the command shows "by operator-demo: quieter"
    When the command "settings rollback policy 1 --wait" is run
    Then the command shows "policy is at revision 3"
    When the command "settings diff examples/domeworks/settings.json" is run
    Then the command shows nothing
    When the command "settings status" is run
    Then the command shows "policy revision 3: 0 of 0 processes"
    When the command "settings load examples/domeworks/settings.json" is run
    Then the command exits with 0
    When the command "fleet" is run
    Then the command shows "24 workers, 192 accelerators"
    When the command "guarantees" is run
    Then the command shows "producers: 4 x 8 accelerators in one worker"

  Scenario Outline: Each kind of refusal has its exit code
    Given a steward for the command line with the operator's token
    When the command "<command>" is run
    Then the command exits with <code>

    Examples:
      | command                                                        | code |
      | settings get teams/nobody                                      | 5    |
      | settings rollback policy 77                                    | 5    |
      | settings edit policy --set queue_limit=-1                      | 2    |
      | settings edit policy --set queue_limit                         | 2    |
      | settings edit policy --set a.b=1                               | 5    |
      | settings put policy examples/domeworks/settings.json           | 2    |
      | settings put teams/preview docs/design/overview.md                      | 2    |
      | settings history policy --limit 0                              | 2    |
      | job explain osborne-cell-1.0                                   | 5    |
      | settings get policy --token-file examples/domeworks/tokens.json | 2    |
      | settings get policy --token-file examples                      | 2    |
      | settings get policy --steward 127.0.0.1:1                      | 3    |
      | job status osborne-cell-1.0 --entry 127.0.0.1:1                | 3    |
      | settings get policy --steward nonsense                         | 3    |
      | settings unknown                                               | 2    |

  Scenario: A token that is not valid
    A key was rotated and the old token is still in use. The error must name the token
    as the cause, not the settings.
    Given a steward for the command line with the token wrong
    When the command "settings get policy" is run
    Then the command exits with 4
    And the command shows "unauthenticated"

  Scenario: Two operators edit from one revision
    Guards against a second change that silently overwrites the first one.
    Given a steward for the command line with the operator's token
    And the file FILE holds a policy with a queue limit of 9
    When the command "settings put policy FILE --revision 1" is run
    Then the command exits with 0
    When the command "settings put policy FILE --revision 1" is run
    Then the command exits with 6
    And the command shows "your change expects 1"

  Scenario: An empty store is loaded for the first time
    No operator's key is in force yet, so the first load writes directly to the store.
    Given an empty store behind its gateway
    When the command "settings load examples/thistlegate/settings.json --store STORE" is run
    Then the command exits with 0
    And the store behind the gateway holds the thistlegate example
    When the command "settings load examples/thistlegate/settings.json --store STORE --json" is run
    Then the command's JSON holds no accepted change

  Scenario: Every command has help with an example, and every error an exit code
    Then each command's help shows an example
    And each error kind has an exit code that agrees with whether it may have run

  Scenario: A fault of the program is reported as a sentence too
    When the command line raises an unexpected exception
    Then the command exits with 1
    And the command shows "fault of the program"
