"""Sentences for the reason codes of decisions.

Records and logs carry codes of a closed list; the views show them as sentences, so
that nobody has to look a code up.
"""

from primrosestile.state.jobs import JobState, Reason, ReasonCode

SENTENCES: dict[ReasonCode, str] = {
    ReasonCode.ACCEPTED: "The job was accepted and waits for a place.",
    ReasonCode.PLACED: "It was given a place.",
    ReasonCode.PLACED_IN_GUARANTEE: (
        "It was given a place within its organisation's guarantee."
    ),
    ReasonCode.PLACED_BORROWING: (
        "It was given a place in free room that is guaranteed to another"
        " organisation, and can be reclaimed from it."
    ),
    ReasonCode.WAITS_FOR_ROOM: "It waits for accelerators that are close enough.",
    ReasonCode.WAITS_FOR_RECLAIM: "It waits for room that is being reclaimed.",
    ReasonCode.WAITS_FOR_GUARANTEE: (
        "It waits, because its place would leave a guarantee that can't be reclaimed."
    ),
    ReasonCode.WAITS_BEHIND_URGENT: "It waits behind more urgent work.",
    ReasonCode.WAITS_FOR_QUOTA: "It waits, because its team uses its whole quota.",
    ReasonCode.NEVER_FITS: "No cell of the fleet can ever hold its shape.",
    ReasonCode.RESERVE_FAILED: "A worker refused the lease; nothing ran.",
    ReasonCode.PREPARE_FAILED: "A worker could not load it; nothing ran.",
    ReasonCode.GO_FAILED: "A worker did not start it; the other members were stopped.",
    ReasonCode.MEMBER_LOST: "A worker was lost; the other members were stopped.",
    ReasonCode.RECLAIMED: "It was stopped for an organisation's guarantee.",
    ReasonCode.MOVED_TO_DEFRAGMENT: "It was moved to free whole workers.",
    ReasonCode.RESTARTED: "It was started again.",
    ReasonCode.ADOPTED: "A new owner of the cell took it over while it ran.",
    ReasonCode.FINISHED: "It finished.",
    ReasonCode.FAILED_EVERYWHERE: "It failed on several workers that run other jobs.",
    ReasonCode.LOST_EVERYWHERE: "Its workers were lost soon after each start.",
    ReasonCode.CANCELLED_BY_CALLER: "Its caller cancelled it.",
    ReasonCode.OUTCOME_UNKNOWN: "It may have run; how it ended is unknown.",
    ReasonCode.QUARANTINED: "The worker failed many different jobs and is quarantined.",
    ReasonCode.RELEASED_FROM_QUARANTINE: "The worker ran test work and is back in use.",
}

STATE_SENTENCES: dict[JobState, str] = {
    JobState.ACCEPTED: "It has not run yet.",
    JobState.STARTED: "It runs, or is being started.",
    JobState.FINISHED: "It has run to its end.",
    JobState.FAILED: "It has failed and will not be retried.",
    JobState.CANCELLED: "It was cancelled.",
    JobState.UNKNOWN: "It may have run; check for its effect before sending it again.",
}


def describe_reason(reason: Reason) -> str:
    """Return a reason as one sentence with its details."""
    sentence = SENTENCES[reason.code]
    if not reason.detail:
        return sentence
    return f"{sentence.removesuffix('.')}: {reason.detail}."
