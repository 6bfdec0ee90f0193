Feature: The adapter follows the platform's documented interface
  Names and formats are decoded in one place; a mistake there loses jobs.

  Scenario: The settings file is parsed
    Given the platform's settings file with an unknown line
    Then its addresses and limits are parsed

  Scenario: A settings file without the store's address is rejected
    Given the platform's settings file without platform.address
    Then parsing fails for want of the missing line

  Scenario: An operator switches features of the scheduler
    Given the platform's settings file with scheduling.headroom=on
    Then headroom is on, and each other feature is left to its rule

  Scenario Outline: A misspelled feature of the scheduler is rejected
    Guards against an operator who switches a feature off while it stays on.
    Given the platform's settings file with <line>
    Then parsing fails and names <named>

    Examples:
      | line                    | named              |
      | scheduling.headrom=off  | scheduling.headrom |
      | scheduling.headroom=no  | auto, on, off      |

  Scenario Outline: A body that is not a job is refused
    When a caller submits the body <body>
    Then the body is refused as malformed

    Examples:
      | body                                                |
      | {                                                   |
      | []                                                  |
      | {"spec":"x"}                                        |
      | {"spec":"x","steps":[]}                             |
      | {"spec":"x","steps":[{"count":0}]}                  |
      | {"spec":"x","steps":[{"count":-4}]}                 |
      | {"spec":"x","steps":[{"count":1,"gpu":-1}]}         |
      | {"spec":"x","steps":[{"count":1,"after":[0]}]}      |
      | {"spec":"x","steps":[{"count":99999}]}              |
      | {"spec":7,"steps":[{"count":1}]}                    |

  Scenario: Every field of a step is decoded
    When a caller submits a step that uses every field
    Then every field of the step is decoded

  Scenario: A worker's entry is decoded
    Then a worker's entry gives its rack, capacity and whether it is leaving

  Scenario: Another start of a worker answers under its id
    Guards against counting the answers of a start that knows nothing of before for the
    one that a call was meant for; the platform itself tells them apart by id only.
    Then an answer of another start of a worker is told from that of the expected one

  Scenario: An earlier owner is asked whether it has stopped extending leases
    Guards against counting a lease as over since a process of another version, or none,
    answered.
    Then an earlier owner has stopped only if it answers so

  Scenario: A policy is decoded
    Then a stored configuration gives queues, keys, guarantees and limits
    And the longest prefix selects the queue

  Scenario: A queue whose workers only the advice service knows
    Given the platform's stand-in over HTTP with 2 workers
    And only its advice service knows its queues' workers
    And a process of ours on it
    When a caller submits a job over HTTP
    Then the caller is shown the job as completed
    And each start carried a valid ticket

  Scenario: An order that is answered with an unknown status may have taken effect
    A proxy, or a fault of the worker, answers an order with a status that the platform
    does not document. If it counted as a refusal, the run would be started a second
    time elsewhere while the first continues.
    Then an order that is answered with 500 may have taken effect
    And an order that is answered with 400 had no effect

  Scenario: A write is answered by something that is not the store
    A proxy answers a write with a status that the store never returns. The write may
    have taken effect; if it counted as failed, a caller would be told that a job was
    not accepted, and it would run and be billed.
    Then a write that is answered with 500 may have taken effect
    And a write that is answered with 502 may have taken effect
    And a write that is answered with 504 may have taken effect
    And a write that is answered with 503 had no effect
    And a write that is answered with 429 had no effect

  Scenario: An answer that breaks off is told from none
    Guards against logs in which a store that is away and a slow link look the same.
    When a value of 60 kB is read that stops to arrive after 20 kB
    Then the read fails and names how much of the answer has arrived
    And its connection counts as silent
    When a value is read that is never answered
    Then the read fails and says that there was no answer

  Scenario: The largest value arrives over a slow link
    Guards against a value that is requested again and again and never arrives whole.
    When a value of 1048 kB is read over a link of 5 Mbit/s
    Then the value is read

  Scenario: A value arrives over a link that carries less than its settings state
    Guards against a limit that follows the settings while the link is slowed.
    When a value of 1048 kB is read that arrives at 350 kB/s
    Then the value is read

  Scenario: A large value is transferred only when it has changed
    Guards against a link that is full of copies of one value.
    Given a store over HTTP with a value of 1000 kB
    Then a check of its revision is answered in under 1 kB
    And a check of an older revision brings the value
    And a change on the condition of an older revision is refused without the value
    And a check that is answered with another key's value fails

  Scenario: The list of VMs is read page by page, and maintenance is ordered
    Then the VMs on two pages are listed
    And a maintenance order carries its holder and fence
    And a refused order returns its reason
    And an order with any other answer fails as unanswered

  Scenario: A process serves callers on the platform's stand-in over HTTP
    Given the platform's stand-in over HTTP with 2 workers
    And a process of ours on it
    When a caller submits a job over HTTP
    Then the caller is shown the job as completed
    And the stand-in's ledger shows no faults
    And invalid requests get these statuses
      | method | path                    | key     | status |
      | GET    | /usual/00000000000000ff | good    | 410    |
      | DELETE | /usual/00000000000000ff | good    | 410    |
      | GET    | /usual/nonsense         | good    | 404    |
      | GET    | /nowhere/               | good    | 404    |
      | GET    | /usual/                 | unknown | 401    |
      | GET    | /usual/                 | good    | 200    |
      | PUT    | /usual/00000000000000ff | good    | 405    |
      | POST   | /usual/00000000000000ff | good    | 400    |
    And the process reports that it is ready
