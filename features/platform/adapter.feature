Feature: The platform is met as its pages say
  Names and formats are decoded in one place; a wrong one there loses jobs.

  Scenario: The settings file is read
    Given the platform's settings file with a line that nobody knows
    Then the process learns its addresses and bounds from it

  Scenario: A settings file without the store's address ends the program
    Given the platform's settings file without platform.address
    Then reading it says which line is missing

  Scenario Outline: A body that is no job is refused at once
    When a caller hands in the body <body>
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

  Scenario: Every field of a step has its own place
    When a caller hands in a step that uses every field
    Then the step says the same in our words

  Scenario: A worker's entry is read
    Then a worker's entry gives its rack, room and whether it leaves

  Scenario: A policy is read
    Then a stored configuration gives queues, keys, guarantees and limits
    And the longest prefix selects the queue

  Scenario: A queue whose workers only the advice service knows
    Given the platform's stand-in over HTTP with 2 workers
    And its queues' workers are known to its advice service only
    And a process of ours on it
    When a caller hands in a job over HTTP
    Then the caller is shown the job as completed
    And each start carried a good ticket

  Scenario: A worker's answer that nobody can read says nothing about the run
    A proxy, or a fault of the worker's own, answers an order with a status that no
    page names. Taken for a refusal, the run would begin a second time elsewhere
    while the first goes on.
    Then an order that is answered with 500 may have been carried out
    And one that is answered with 400 was not

  Scenario: A write is answered by something that is not the store
    What stands between us and the store answers a write with a status that the store
    never gives. The write may stand all the same; were it taken as not done, a caller
    would be told that a job was not accepted, and it would run and be billed.
    Then a write that is answered with 500 may have been done
    And a write that is answered with 502 may have been done
    And a write that is answered with 504 may have been done
    And a write that is answered with 503 was not done
    And a write that is answered with 429 was not done

  Scenario: The list of VMs is read page by page, and upkeep is ordered
    Then the VMs of two pages are read
    And an order for upkeep carries its holder and fence
    And a refused order is told by its reason
    And an order with any other answer counts as not answered

  Scenario: A process serves callers on the platform's stand-in over HTTP
    Given the platform's stand-in over HTTP with 2 workers
    And a process of ours on it
    When a caller hands in a job over HTTP
    Then the caller is shown the job as completed
    And the stand-in's ledger shows nothing wrong
    And callers' mistakes are answered
      | method | path                    | key     | status |
      | GET    | /usual/00000000000000ff | good    | 410    |
      | DELETE | /usual/00000000000000ff | good    | 410    |
      | GET    | /usual/nonsense         | good    | 404    |
      | GET    | /nowhere/               | good    | 404    |
      | GET    | /usual/                 | unknown | 401    |
      | GET    | /usual/                 | good    | 200    |
      | PUT    | /usual/00000000000000ff | good    | 405    |
      | POST   | /usual/00000000000000ff | good    | 400    |
    And the balancer is told that it is ready
