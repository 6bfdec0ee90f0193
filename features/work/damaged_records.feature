Feature: Callers learn what is true of a job with a damaged record
  A record may be overwritten by another program. The other records of the job still
  tell whether it exists, and often its state.

  Scenario Outline: The state of a job with damaged records
    Guards against a query that fails for good though the job is known, against a state
    that nobody knows, and against a known job that is said not to exist.
    Given a job whose end, progress and submission are <end>, <progress>, <submission>
    When its caller asks for its state 3 times
    Then each answer is <status> with the state <state>
    And the log names <logged> damaged records, each once
    And the job's records are unchanged

    Examples:
      | end       | progress | submission    | status | state     | logged |
      | absent    | damaged  | queued        | 200    | running   | 1      |
      | absent    | nested   | queued        | 200    | running   | 1      |
      | absent    | damaged  | damaged       | 200    | running   | 1      |
      | absent    | absent   | damaged       | 500    | unknown   | 1      |
      | absent    | absent   | another job's | 500    | unknown   | 1      |
      | damaged   | absent   | absent        | 500    | unknown   | 1      |
      | damaged   | running  | queued        | 200    | running   | 1      |
      | damaged   | absent   | queued        | 200    | queued    | 1      |
      | absent    | damaged  | absent        | 410    | unknown   | 1      |
      | completed | damaged  | damaged       | 200    | completed | 0      |

  Scenario Outline: A job with a damaged record is submitted again or cancelled
    Guards against an answer by which its caller takes it as not accepted, and against
    a cancellation by somebody whose job it is not.
    Given a job whose end, progress and submission are <end>, absent, <submission>
    When its caller <call>
    Then each answer is 500 with the state unknown
    And the log names <logged> damaged records, each once
    And the job's records are unchanged

    Examples:
      | end     | submission | call             | logged |
      | absent  | damaged    | submits it again | 1      |
      | damaged | absent     | submits it again | 1      |
      | absent  | damaged    | cancels it       | 1      |
