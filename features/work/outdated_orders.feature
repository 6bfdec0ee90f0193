Feature: A step of a run that is over changes nothing of the next run
  Guards against orders that have waited and then act on what their unit runs by now.

  Scenario Outline: A start is settled after its unit has been started elsewhere
    Guards against counting the next run as never sent, or ending it.
    Given a task whose first run waits for <what>
    When its worker is lost, and its second run is started elsewhere
    And <what> arrives
    Then the second run goes on

    Examples:
      | what                         |
      | its record                   |
      | the entry of its worker      |
      | a refusal of its start       |
      | the last failure of its start |

  Scenario: A start is accepted by a start of its worker that is over
    Guards against counting a run as up on the next start of the worker, which does not
    run it.
    Given a task whose first run waits for an acceptance of its start
    When its worker starts again under its id
    And an acceptance of its start arrives
    Then the first run does not count as up

  Scenario: A ticket is refused after the service has given a newer one
    Guards against waiting for a ticket that is there.
    Given a task whose first run waits for a refusal of its ticket
    When the advice service gives another ticket
    And a refusal of its ticket arrives
    Then the newer ticket is still valid

  Scenario: A pace is left unanswered after a newer one was sent
    Guards against taking a task for paced as it was before both.
    Given a best-effort task whose pace of 50 waits for its answer
    When its pace of 25 is answered
    And the failure of the first pace arrives
    Then the task counts as paced to 25

  Scenario: One job's record is late, and the worker of another job crashes meanwhile
    Guards against a task that runs twice after a decision to start that waited for the
    records of two jobs.
    Given one pass is to start a1 and a3, and the record of a1 is 1.5 s late
    When a worker for a3 crashes 0.06 s after the decision
    And 15 s pass
    Then the fleet's ledger shows nothing wrong
    And job a3 is shown as completed within 1 s

  Scenario: One job's record is late, and that of another job is not
    Guards against delaying the starts of urgent work by the record of another job.
    Given one pass is to start a1 and a3, and the record of a1 is 1.5 s late
    When a3 is to be started
    Then a3 runs on the fleet within 0.1 s
