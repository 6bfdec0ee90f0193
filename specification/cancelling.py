"""A job that was said not to exist does not run later.

Two processes try to store one job, as when a caller repeats its submission. Its caller
cancels the id at a third, and another organisation cancels the same id. The store may
lose the answer to any write, and carry the write out later.

Left out: the job's end, and submissions that begin after the tombstone has expired.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from specification.explore import Model, Rules
from specification.guards import Guard


class Try(Enum):
    """The state of one process's submission of the job."""

    IDLE = "idle"
    LOST = "answer lost"
    TOLD_ACCEPTED = "told accepted"
    TOLD_MAYBE = "told maybe"
    TOLD_CANCELLED = "told cancelled"


class Cancel(Enum):
    """The state of one organisation's cancel."""

    IDLE = "idle"
    ABSENT = "has found no job"
    TOLD_NONE = "told no such job"
    TOLD_CANCELLED = "told cancelled"
    TOLD_ERROR = "told error"


OPEN_TRIES = (Try.IDLE, Try.LOST)
# Index of the organisation whose job it is; the other one has no right to it.
OWN, OTHER = 0, 1


@dataclass(frozen=True, slots=True)
class State:
    """What the store holds, and the calls.

    Attributes:
        stored: Whether the job has a record.
        cancelled: Whether the record says that the job is cancelled.
        tombstones: Whether each organisation's tombstone stands.
        expired: Tombstones have expired, and no more are written.
        tries: The submissions.
        late: Whether the write of each submission may still be carried out.
        cancels: Each organisation's cancel.
        late_tombstones: Whether the write of each tombstone may still be carried out.
    """

    stored: bool = False
    cancelled: bool = False
    tombstones: tuple[bool, bool] = (False, False)
    expired: bool = False
    tries: tuple[Try, Try] = (Try.IDLE, Try.IDLE)
    late: tuple[bool, bool] = (False, False)
    cancels: tuple[Cancel, Cancel] = (Cancel.IDLE, Cancel.IDLE)
    late_tombstones: tuple[bool, bool] = (False, False)


def list_steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield every possible next step."""
    for index in (0, 1):
        if state.tries[index] is Try.IDLE:
            yield from _submit(state, index, rules)
        elif state.tries[index] is Try.LOST:
            yield from _read_back(state, index, rules)
        if state.late[index]:
            landed = _store_job(state, rules)
            landed = replace(landed, late=_put(landed.late, index, False))
            yield f"the lost write of try {index} arrives", landed
    for index in (OWN, OTHER):
        if state.cancels[index] is Cancel.IDLE:
            yield from _look(state, index, rules)
        elif state.cancels[index] is Cancel.ABSENT:
            yield from _place(state, index, rules)
        if state.late_tombstones[index]:
            late = _put(state.late_tombstones, index, False)
            landed = replace(
                _write_tombstone(state, index, rules), late_tombstones=late
            )
            yield f"the lost tombstone of organisation {index} arrives", landed
    if any(state.tombstones) and not state.expired and _may_expire(state, rules):
        yield (
            "tombstones expire",
            replace(state, tombstones=(False, False), expired=True),
        )


def _put(pair: tuple, index: int, value: object) -> tuple:
    changed = list(pair)
    changed[index] = value
    return tuple(changed)


def _is_barred(state: State, rules: Rules) -> bool:
    """Whether a tombstone forbids that the job is stored."""
    if Guard.JOB_REQUIRES_NO_TOMBSTONE not in rules:
        return False
    if Guard.TOMBSTONE_OF_ONE_ORGANISATION not in rules:
        return any(state.tombstones)
    return state.tombstones[OWN]


def _store_job(state: State, rules: Rules) -> State:
    if state.stored or _is_barred(state, rules):
        return state
    return replace(state, stored=True)


def _submit(state: State, index: int, rules: Rules) -> Iterator[tuple[str, State]]:
    name = f"try {index} stores the job"
    written = _store_job(state, rules)
    told = Try.TOLD_ACCEPTED if written.stored else Try.TOLD_CANCELLED
    yield f"{name}: done", replace(written, tries=_put(state.tries, index, told))
    tries = _put(state.tries, index, Try.LOST)
    yield f"{name}: lost, with effect", replace(written, tries=tries)
    delayed = replace(state, tries=tries, late=_put(state.late, index, True))
    yield f"{name}: delayed", delayed


def _read_back(state: State, index: int, rules: Rules) -> Iterator[tuple[str, State]]:
    if state.stored:
        told = Try.TOLD_ACCEPTED
    elif _is_barred(state, rules):
        told = Try.TOLD_CANCELLED
    else:
        told = Try.TOLD_MAYBE
    tries = _put(state.tries, index, told)
    yield f"try {index} reads and is {told.value}", replace(state, tries=tries)


def _tell(state: State, index: int, told: Cancel) -> State:
    return replace(state, cancels=_put(state.cancels, index, told))


def _look(state: State, index: int, rules: Rules) -> Iterator[tuple[str, State]]:
    name = f"the cancel of organisation {index}"
    if not state.stored:
        if Guard.TOMBSTONE_BEFORE_NO_SUCH_JOB in rules:
            yield f"{name} finds no job", _tell(state, index, Cancel.ABSENT)
        else:
            told = _tell(state, index, Cancel.TOLD_NONE)
            yield f"{name} finds no job and tells so", told
    elif index == OWN:
        told = _tell(replace(state, cancelled=True), index, Cancel.TOLD_CANCELLED)
        yield f"{name} cancels the job", told
    else:
        yield f"{name} has no right to the job", _tell(state, index, Cancel.TOLD_NONE)


def _write_tombstone(state: State, index: int, rules: Rules) -> State:
    checked = Guard.TOMBSTONE_REQUIRES_NO_JOB in rules
    if state.expired or (checked and state.stored):
        return state
    return replace(state, tombstones=_put(state.tombstones, index, True))


def _place(state: State, index: int, rules: Rules) -> Iterator[tuple[str, State]]:
    name = f"organisation {index} places a tombstone"
    written = _write_tombstone(state, index, rules)
    if written.tombstones[index]:
        yield f"{name}: done", _tell(written, index, Cancel.TOLD_NONE)
    elif state.stored:
        yield f"{name}: a job is there", _tell(state, index, Cancel.IDLE)
    lost = _tell(written, index, Cancel.TOLD_ERROR)
    yield f"{name}: lost, with effect", lost
    delayed = _tell(state, index, Cancel.TOLD_ERROR)
    delayed = replace(delayed, late_tombstones=_put(state.late_tombstones, index, True))
    yield f"{name}: delayed", delayed


def _may_expire(state: State, rules: Rules) -> bool:
    if Guard.TOMBSTONE_OUTLIVES_LATE_WRITES not in rules:
        return True
    return not any(state.late) and not any(each in OPEN_TRIES for each in state.tries)


MODEL = Model(
    name="cancelling",
    initial=State(),
    steps=list_steps,
    properties={
        "a job that was said not to exist never runs": lambda state: (
            state.cancels[OWN] is not Cancel.TOLD_NONE
            or not state.stored
            or state.cancelled
        ),
        "nobody else's cancel refuses a job": lambda state: (
            Try.TOLD_CANCELLED not in state.tries
            or state.cancels[OWN] not in (Cancel.IDLE, Cancel.ABSENT)
        ),
        "nobody else's cancel stops a job": lambda state: (
            not state.cancelled or state.cancels[OWN] is Cancel.TOLD_CANCELLED
        ),
        "'cancelled before a job had it' is true": lambda state: (
            Try.TOLD_CANCELLED not in state.tries or not state.stored
        ),
    },
    witnesses={
        "a late write finds a tombstone": lambda state: (
            state.tombstones[OWN] and any(state.late)
        ),
        "a job lands between the look and the tombstone": lambda state: (
            state.cancels[OWN] is Cancel.ABSENT and state.stored
        ),
        "a job is stored after another organisation was told that there is none": (
            lambda state: state.cancels[OTHER] is Cancel.TOLD_NONE and state.stored
        ),
        "a tombstone expires": lambda state: state.expired,
    },
    guards=(
        Guard.TOMBSTONE_BEFORE_NO_SUCH_JOB,
        Guard.JOB_REQUIRES_NO_TOMBSTONE,
        Guard.TOMBSTONE_REQUIRES_NO_JOB,
        Guard.TOMBSTONE_OUTLIVES_LATE_WRITES,
        Guard.TOMBSTONE_OF_ONE_ORGANISATION,
    ),
)
