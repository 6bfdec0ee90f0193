"""The rules of the core protocol that its promises rest on, by name.

Code that keeps one of these rules may name it in a comment, so that a reader who
wants to remove a check finds the run that breaks without it.
"""

from enum import Enum


class Guard(Enum):
    """One rule each; the value says what the rule asks for."""

    # Ownership of cells.
    EPOCH_CHECKED_BY_WORKER = (
        "A worker refuses a command whose epoch is below the highest it has seen."
    )
    FENCE_BEFORE_ACTING = (
        "A new owner shows its epoch to a worker before it believes what the worker "
        "reports, and to each worker of a gang before it decides about the gang."
    )
    OWNER_STOPS_ACTING_AT_LAPSE = (
        "An owner renews and commands only while its own store lease, reckoned from "
        "before the last renewal was sent, still runs."
    )

    # Gang starts.
    ALL_HELD_BEFORE_START = (
        "A start is recorded only when every member is prepared and held."
    )
    START_RECORDED_BEFORE_GO = (
        "No member is told to go before the start stands in the job's record."
    )
    START_RECORD_COMPARED = (
        "The start is written only over the revision of the job's record that the "
        "owner decided on."
    )
    LOST_START_REREAD = (
        "When the answer to the start's write is lost, the record is read again, and "
        "go is given only if it shows this very start."
    )
    RESTART_ONLY_IF_ALLOWED = (
        "A started job that may not run twice is never started again; its outcome "
        "becomes unknown."
    )
    RESTART_AFTER_LAPSE = (
        "A gang is started again only after each earlier member is reported stopped, "
        "or the owner has owned the cell, the store has answered without a break and "
        "the gang was not seen whole for one time to live of the lease."
    )

    # Jobs that move to another cell.
    MOVE_RECORDED_FIRST = (
        "The old record says that the job is moving before the new record is created."
    )
    MOVE_NAMES_NEW_ID = (
        "The old record fixes the job's new id, so that whoever goes on with the move "
        "creates the same record."
    )
    MOVED_JOB_CREATED_ONCE = (
        "The new record is created only where none stands, whatever became of it."
    )
    CANCEL_WAITS_FOR_MOVE = (
        "A job that is moving is cancelled only once it has arrived, in its new record."
    )

    # Running gangs.
    LEASE_LAPSE_STOPS_TASK = "A worker stops a task whose lease has lapsed."
    RENEWED_ONLY_WHOLE = (
        "A renewal of a gang's leases ends no later than one time to live after the "
        "start of the last round that saw every member running."
    )
    CARETAKER_ONLY_RENEWS = (
        "A process that does not own a cell renews what workers report and starts "
        "nothing."
    )
    CARETAKER_ONLY_IN_OUTAGE = (
        "A caretaker looks and renews only while the store does not answer."
    )
    CARETAKER_RENEWS_WHOLE = (
        "A caretaker renews a gang only if it sees every member of it running."
    )

    # Non-idempotent requests.
    CLAIM_BEFORE_DISPATCH = (
        "A non-idempotent request is claimed in the store before it may be sent."
    )
    CLAIM_COMPARED = "A claim is written only where none stands."
    DISPATCH_RECORDED_BEFORE_SEND = (
        "The claim says dispatched before the request is sent to a target."
    )
    DISPATCH_RECORD_COMPARED = (
        "The dispatch is written only over the claim that its writer holds."
    )
    LOST_ANSWER_REREAD = (
        "When the store's answer to a claim or dispatch is lost, the claim is read "
        "again, and only one's own token counts as one's own write."
    )
    REDISPATCH_ONLY_IF_PROVED_NOT_RUN = (
        "A dispatched request is sent again only if its target says that it did not "
        "run."
    )
    NOT_RUN_ONLY_IF_PROVED = (
        "A caller is told 'not run' only if nothing was sent, or the target says so, "
        "and nobody can send it any more."
    )

    CLAIM_OUTLIVES_RETRIES = (
        "A claim is kept under a lease that outlives the time in which its request may "
        "still be sent or retried."
    )

    JOB_ID_CLAIMED = (
        "A claim on the submission's request id fixes the job's id before the job's "
        "record is written."
    )
    LOST_WRITE_NOT_DISPROVED = (
        "A lost write that a reading does not show may still take effect; its caller "
        "is not told 'not run' unless the key has changed under it."
    )

    # Answers.
    ANSWER_ID_CHECKED = "An answer counts only for the request whose id it repeats."
    ANSWER_LENGTH_CHECKED = "An answer counts only if all its announced bytes came."

    # Settings.
    CHANGE_COMPARED = (
        "A change of a setting is written only over the revision that its author saw."
    )
    HIGHER_REVISION_ONLY = (
        "A process applies a stored setting only if its revision is above the one "
        "applied."
    )
    LOST_CHANGE_REREAD = (
        "When the store's answer to a change is lost, the value is read again, and "
        "one's own change is known by its audit entry."
    )
    START_FROM_HIGHEST = (
        "A process that starts while the store is down takes the highest revision of "
        "peers that are ready, and neither serves nor answers peers before."
    )
    REMOVAL_KEEPS_REVISION = (
        "Removing a setting is a change with a higher revision, not a deleted key."
    )
    WATCH_FROM_LISTED_REVISION = (
        "A watch starts from the store revision of the listing that it completes."
    )

    # Leaving.
    READINESS_OFF_FIRST = (
        "A process that ends turns its readiness off before it stops listening."
    )
    LISTEN_WHILE_BALANCER_LAGS = (
        "A process that ends keeps listening and serving until the balancer must have "
        "seen that it is not ready."
    )
    DRAIN_BEFORE_EXIT = (
        "A process that ends exits only when nothing is in progress in it."
    )
    HAND_OVER_BEFORE_EXIT = (
        "A placer that ends finishes or undoes the gang starts that it has begun, then "
        "gives up its cells, and only then exits."
    )
    LEAVING_EXCLUDED = "A target known to be leaving is not chosen for new work."
    LEAVING_FROM_EITHER_SOURCE = (
        "A target counts as leaving as soon as either the VM list or the target itself "
        "says so."
    )
    LEAVING_CHECKED_AT_SEND = (
        "Whether the target is leaving is checked again when the work is sent, not "
        "only when the target is chosen."
    )

    # Tasks on the fleet.
    RUN_RECORDED_BEFORE_ORDER = (
        "A run stands in the store before its start is sent to a worker."
    )
    RECORD_COMPARED = (
        "A task's record is written only over the revision that its owner knows."
    )
    RUN_BARRED_BEFORE_NEXT = (
        "A run whose start may still come is barred by a stop that its worker has "
        "answered before another run of the task is decided."
    )
    STOP_END_AWAITED = (
        "A stopped run counts as gone only once a later look does not show it."
    )
    SILENCE_WAITED_OUT = (
        "A run on a worker that can't be asked counts as gone only once the worker's "
        "lease must have run out, whoever extended it last."
    )
    SLOW_CLOCK_ALLOWED_FOR = "That wait allows for a worker's clock that is slow."
    END_STORED_BEFORE_FORGOTTEN = (
        "A worker is told to forget an end only once the end stands in the store."
    )
    NO_ORDER_PAST_LEASE = (
        "An owner sends a start or stop only while its own store lease still runs."
    )
    CARE_IS_BOUNDED = (
        "An owner whose store lease has lapsed extends workers' leases for a bounded "
        "time only, which the next owner's wait counts in."
    )
    LIFE_ENDS_BY_OWN_WORD = (
        "A worker's life is over only by the answer of its own address or with its "
        "lease, never by the list of workers."
    )
