"""The closed list of proofs that a member of a run does not run, and never will."""

from enum import StrEnum


class Proof(StrEnum):
    """Why a member certainly does not run, and never will.

    Code that marks a member as gone must name one of these, and the log shows it. When
    a task has run twice, the proof that was false is the cause.

    Attributes:
        ENDED: Its worker listed its end.
        NEVER_SENT: Its order never left this process.
        REFUSED: Its worker refused the start, and no earlier try went unanswered.
        BARRED: A poll sent after an answered stop does not show it.
        FENCED_OFF: An earlier owner ordered it, and a poll under our fence does not
            show it.
        GANG_ENDED: Another member reported success for the whole gang.
        INCARNATION_OVER: Its worker's address answers that this incarnation has ended.
        LEASE_OVER: Its worker's lease has run out on the worker's clock.
        VM_ORDERED: Its worker's VM has begun its maintenance.
        NEVER_ANSWERED: Its worker never answered this owner, and no earlier owner can
            have extended its lease until now.
    """

    ENDED = "ended"
    NEVER_SENT = "never sent"
    REFUSED = "refused"
    BARRED = "barred"
    FENCED_OFF = "fenced off"
    GANG_ENDED = "gang ended"
    INCARNATION_OVER = "incarnation over"
    LEASE_OVER = "lease over"
    VM_ORDERED = "VM ordered"
    NEVER_ANSWERED = "never answered"


# Proofs that an incarnation has ended for good, so that its name never comes back;
# after the others the same incarnation may answer again.
FINAL_PROOFS = frozenset({Proof.INCARNATION_OVER, Proof.VM_ORDERED})
