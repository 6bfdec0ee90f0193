Feature: No guard of the core protocol can be removed

  A change removes a check that seems redundant. Nothing fails for months, until a
  process pauses where the check was and a surcharge run is billed twice. Here each
  guard is switched off alone, and the property that breaks is named.

  Scenario Outline: Without one guard a property breaks
    When the <model> model is explored without <guard>
    Then a run breaks the property: <property>

    Examples:
      | guard                             | model      | property                                           |
      | EPOCH_CHECKED_BY_WORKER           | gang start | a worker obeys no owner older than one it has seen |
      | FENCE_BEFORE_ACTING               | gang start | a job that may not run twice runs once             |
      | ALL_HELD_BEFORE_START             | gang start | no member runs before all are held                 |
      | START_RECORDED_BEFORE_GO          | gang start | no member runs without a recorded start            |
      | START_RECORD_COMPARED             | gang start | a job that may not run twice runs once             |
      | LOST_START_REREAD                 | gang start | no member runs without a recorded start            |
      | RESTART_ONLY_IF_ALLOWED           | gang start | a job that may not run twice runs once             |
      | LEASE_LAPSE_STOPS_TASK            | gang lease | a gang runs in part for less than one lease        |
      | RENEWED_ONLY_WHOLE                | gang lease | a gang runs in part for less than one lease        |
      | OWNER_STOPS_ACTING_AT_LAPSE       | gang lease | two attempts of a gang never run at once           |
      | RESTART_AFTER_LAPSE               | gang lease | two attempts of a gang never run at once           |
      | CARETAKER_ONLY_RENEWS             | gang lease | two attempts of a gang never run at once           |
      | CARETAKER_RENEWS_WHOLE            | gang lease | a gang runs in part for less than one lease        |
      | CARETAKER_ONLY_IN_OUTAGE          | gang lease | two attempts of a gang never run at once           |
      | MOVE_RECORDED_FIRST               | moving     | a moved job is started once                        |
      | MOVE_NAMES_NEW_ID                 | moving     | a moved job is started once                        |
      | MOVED_JOB_CREATED_ONCE            | moving     | a moved job is started once                        |
      | CANCEL_WAITS_FOR_MOVE             | moving     | a requested cancellation is kept                   |
      | CLAIM_BEFORE_DISPATCH             | claims     | a non-idempotent request runs at most once         |
      | CLAIM_COMPARED                    | claims     | a non-idempotent request runs at most once         |
      | DISPATCH_RECORDED_BEFORE_SEND     | claims     | a non-idempotent request runs at most once         |
      | DISPATCH_RECORD_COMPARED          | claims     | a non-idempotent request runs at most once         |
      | LOST_ANSWER_REREAD                | claims     | a non-idempotent request runs at most once         |
      | REDISPATCH_ONLY_IF_PROVED_NOT_RUN | claims     | a non-idempotent request runs at most once         |
      | NOT_RUN_ONLY_IF_PROVED            | claims     | 'not run' is true                                  |
      | CLAIM_OUTLIVES_RETRIES            | claims     | a non-idempotent request runs at most once         |
      | JOB_ID_CLAIMED                    | submission | one submission makes one job                       |
      | LOST_WRITE_NOT_DISPROVED          | submission | 'not run' is true                                  |
      | TOMBSTONE_BEFORE_NO_SUCH_JOB      | cancelling | a job that was said not to exist never runs        |
      | JOB_REQUIRES_NO_TOMBSTONE         | cancelling | a job that was said not to exist never runs        |
      | TOMBSTONE_REQUIRES_NO_JOB         | cancelling | a job that was said not to exist never runs        |
      | TOMBSTONE_OUTLIVES_LATE_WRITES    | cancelling | a job that was said not to exist never runs        |
      | TOMBSTONE_OF_ONE_ORGANISATION     | cancelling | nobody else's cancel refuses a job                 |
      | ANSWER_ID_CHECKED                 | answers    | a caller gets its own answer                       |
      | ANSWER_LENGTH_CHECKED             | answers    | a caller gets the whole answer                     |
      | CHANGE_COMPARED                   | settings   | no change overwrites one that its author had not seen |
      | HIGHER_REVISION_ONLY              | settings   | a process never applies an older change            |
      | LOST_CHANGE_REREAD                | settings   | an operator is told the true outcome               |
      | LOST_WRITE_NOT_DISPROVED          | settings   | an operator is told the true outcome               |
      | REMOVAL_KEEPS_REVISION            | settings   | a process never applies an older change            |
      | WATCH_FROM_LISTED_REVISION        | settings   | an accepted change comes into force                |
      | START_FROM_HIGHEST                | restart    | a revision in force everywhere stays in force      |
      | READINESS_OFF_FIRST               | drain      | a graceful end cuts off no request                 |
      | LISTEN_WHILE_BALANCER_LAGS        | drain      | a graceful end cuts off no request                 |
      | DRAIN_BEFORE_EXIT                 | drain      | a graceful end cuts off no request                 |
      | HAND_OVER_BEFORE_EXIT             | drain      | a graceful end leaves no gang start half done      |
      | LEAVING_EXCLUDED                  | leaving    | a leaving target gets nothing new after the bound  |
      | LEAVING_FROM_EITHER_SOURCE        | leaving    | a leaving target gets nothing new after the bound  |
      | LEAVING_CHECKED_AT_SEND           | leaving    | a leaving target gets nothing new after the bound  |
      | RUN_RECORDED_BEFORE_ORDER         | fleet task | a task never runs twice at once                    |
      | RECORD_COMPARED                   | fleet task | a task never runs again after its end counts       |
      | RUN_BARRED_BEFORE_NEXT            | fleet task | a task never runs twice at once                    |
      | STOP_END_AWAITED                  | fleet task | a task never runs twice at once                    |
      | END_STORED_BEFORE_FORGOTTEN       | fleet task | a task never runs again after its end counts       |
      | LIFE_ENDS_BY_OWN_WORD             | fleet task | a task never runs twice at once                    |
      | SILENCE_WAITED_OUT                | fleet lease | a task never runs twice at once                    |
      | SLOW_CLOCK_ALLOWED_FOR            | fleet lease | a task never runs twice at once                    |
      | NO_ORDER_PAST_LEASE               | fleet lease | a task never runs twice at once                    |
      | CARE_IS_BOUNDED                   | fleet lease | a task never runs twice at once                    |
