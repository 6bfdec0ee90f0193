"""The rules of the core protocol that its properties depend on, by name.

Code that implements one of these rules may name it in a comment, so that a reader who
wants to remove a check finds the run that breaks without it.
"""

from enum import Enum


class Guard(Enum):
    """One rule each; the value states the rule."""

    # Ownership of cells.
    EPOCH_CHECKED_BY_WORKER = (
        "A worker refuses a command whose epoch is below the highest it has seen."
    )
    FENCE_BEFORE_ACTING = (
        "A new owner shows its epoch to a worker before it relies on the worker's "
        "report, and to each worker of a gang before it decides about the gang."
    )
    OWNER_STOPS_ACTING_AT_LAPSE = (
        "An owner renews and sends commands only while its own store lease, counted "
        "from before the last renewal was sent, has not lapsed."
    )

    # Gang starts.
    ALL_HELD_BEFORE_START = (
        "A start is recorded only when every member is prepared and held."
    )
    START_RECORDED_BEFORE_GO = (
        "No member is told to go before the start is stored in the job's record."
    )
    START_RECORD_COMPARED = (
        "The start is written only over the revision of the job's record that the "
        "owner decided on."
    )
    LOST_START_REREAD = (
        "When the answer to the start's write is lost, the record is read again, and "
        "members are told to go only if it contains this same start."
    )
    RESTART_ONLY_IF_ALLOWED = (
        "A started job that may not run twice is never started again; its outcome "
        "becomes unknown."
    )
    RESTART_AFTER_LAPSE = (
        "A gang is started again only after each earlier member is reported stopped, "
        "or once the owner has owned the cell, the store has answered without "
        "interruption and the gang was not seen whole, all for one time to live."
    )

    # Jobs that move to another cell.
    MOVE_RECORDED_FIRST = (
        "The old record marks the job as moving before the new record is created."
    )
    MOVE_NAMES_NEW_ID = (
        "The old record fixes the job's new id, so that an owner that resumes the move "
        "creates the same record."
    )
    MOVED_JOB_CREATED_ONCE = (
        "The new record is created only if none exists, whatever its state."
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
        "A caretaker polls and renews only while the store does not answer."
    )
    CARETAKER_RENEWS_WHOLE = (
        "A caretaker renews a gang only if it sees every member of it running."
    )

    # Non-idempotent requests.
    CLAIM_BEFORE_DISPATCH = (
        "A non-idempotent request is claimed in the store before it may be sent."
    )
    CLAIM_COMPARED = (
        "A claim is written only over the revision that its writer read, or where none "
        "exists."
    )
    DISPATCH_RECORDED_BEFORE_SEND = (
        "The claim is marked dispatched before the request is sent to a target."
    )
    DISPATCH_RECORD_COMPARED = (
        "The dispatch is written only over the claim that its writer holds."
    )
    LOST_ANSWER_REREAD = (
        "When the store's answer to a claim or dispatch is lost, the claim is read "
        "again, and only the entry's own token proves its own write."
    )
    REDISPATCH_ONLY_IF_PROVED_NOT_RUN = (
        "A dispatched request is sent again only if its target answers that it did not "
        "run."
    )
    NOT_RUN_ONLY_IF_PROVED = (
        "A caller is told 'not run' only if nothing was sent, or the target answers "
        "so, and no entry can still send it."
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
        "A lost write that a later read does not show may still take effect; its "
        "caller is not told 'not run' unless the key has changed since."
    )

    # Cancelling.
    TOMBSTONE_BEFORE_NO_SUCH_JOB = (
        "A cancel is answered 'no such job' only once a tombstone bars the id, unless "
        "the id is that of a job that has ended or is another organisation's."
    )
    JOB_REQUIRES_NO_TOMBSTONE = (
        "Every write that creates a job has the condition that no tombstone bars it."
    )
    TOMBSTONE_REQUIRES_NO_JOB = (
        "A tombstone is written under the condition that no job has the id."
    )
    TOMBSTONE_OUTLIVES_LATE_WRITES = (
        "A tombstone stays for longer than a submission can be under way."
    )
    TOMBSTONE_OF_ONE_ORGANISATION = (
        "A tombstone bars only those jobs that its writer may cancel."
    )

    # Answers.
    ANSWER_ID_CHECKED = (
        "An answer is accepted only for the request whose id it carries."
    )
    ANSWER_LENGTH_CHECKED = (
        "An answer is accepted only if all its announced bytes arrived."
    )

    # Settings.
    CHANGE_COMPARED = (
        "A change of a setting is written only over the revision that its author saw."
    )
    HIGHER_REVISION_ONLY = (
        "A process applies a stored setting only if its revision is above the one "
        "applied."
    )
    LOST_CHANGE_REREAD = (
        "When the store's answer to a change is lost, the value is read again, and the "
        "author's own change is identified by its audit entry."
    )
    START_FROM_HIGHEST = (
        "A process that starts while the store is down takes the highest revision of "
        "its ready peers, and neither serves nor answers peers before that."
    )
    REMOVAL_KEEPS_REVISION = (
        "Removing a setting is a change with a higher revision, not a deleted key."
    )
    WATCH_FROM_LISTED_REVISION = (
        "A watch starts from the store revision of the listing that it completes."
    )

    # Leaving.
    READINESS_OFF_FIRST = (
        "A process that shuts down turns its readiness off before it stops listening."
    )
    LISTEN_WHILE_BALANCER_LAGS = (
        "A process that shuts down keeps listening and serving until the balancer must "
        "have seen that it is not ready."
    )
    DRAIN_BEFORE_EXIT = (
        "A process that shuts down exits only when it has no request in progress."
    )
    HAND_OVER_BEFORE_EXIT = (
        "A placer that shuts down finishes or undoes the gang starts that it has "
        "begun, then resigns its cells, and only then exits."
    )
    LEAVING_EXCLUDED = "A target known to be leaving is not chosen for new work."
    LEAVING_FROM_EITHER_SOURCE = (
        "A target counts as leaving as soon as either the VM list or the target itself "
        "reports it."
    )
    LEAVING_CHECKED_AT_SEND = (
        "Whether the target is leaving is checked again when the work is sent, not "
        "only when the target is chosen."
    )

    # Tasks on the fleet.
    RUN_RECORDED_BEFORE_ORDER = (
        "A run is recorded in the store before its start is sent to a worker."
    )
    RECORD_COMPARED = (
        "A task's record is written only over the revision that its owner knows."
    )
    RUN_BARRED_BEFORE_NEXT = (
        "A run whose start may still arrive is blocked by a stop that its worker has "
        "answered before another run of the task is decided."
    )
    STOP_END_AWAITED = (
        "A stopped run counts as gone only once a later poll does not show it."
    )
    SILENCE_WAITED_OUT = (
        "A run on an unreachable worker counts as gone only once the worker's lease "
        "must have expired, whichever owner extended it last."
    )
    SLOW_CLOCK_ALLOWED_FOR = "That wait allows for a worker's slow clock."
    END_STORED_BEFORE_FORGOTTEN = (
        "An end is acknowledged to its worker only once it is recorded in the store."
    )
    NO_ORDER_PAST_LEASE = (
        "An owner sends a start or stop only while its own store lease has not lapsed."
    )
    CARE_IS_BOUNDED = (
        "An owner whose store lease has lapsed extends workers' leases for a bounded "
        "time only, which the next owner's wait includes."
    )
    LIFE_ENDS_BY_OWN_WORD = (
        "A worker's incarnation is over only when its own address says so or its lease "
        "expires, never because of the list of workers."
    )
