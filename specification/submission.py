"""A submitted gang job is stored once, and the caller is told the truth about it.

The same submission reaches two entries, as when a caller retries. Each writes a claim
on the request id that fixes the job's id, then the job's record under that id. The
store may lose an answer before or after its effect, and a lost write may take effect
after its sender has read again: a read without the write proves that it has not
happened yet, but not that it never will.

Left out: the job's start (see `gang_start`), and expiry of the claim (see `claims`).
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from specification.explore import Model, Rules
from specification.guards import Guard


class Step(Enum):
    """The state of one entry's call."""

    CLAIM = "claim"
    CLAIM_LOST = "claim lost"
    CREATE = "create"
    CREATE_LOST = "create lost"
    TOLD_ACCEPTED = "told accepted"
    TOLD_NOT_RUN = "told not run"
    TOLD_MAYBE = "told maybe"


OPEN_STEPS = (Step.CLAIM, Step.CLAIM_LOST, Step.CREATE)


@dataclass(frozen=True, slots=True)
class Call:
    """One entry's call.

    Attributes:
        job: Index of the job id that it uses; -1 before it knows.
        claim_late: Whether a lost write of the claim may still take effect.
        create_late: Likewise for the job's record.
        created: Whether a write of this call created a job's record.
    """

    step: Step = Step.CLAIM
    job: int = -1
    claim_late: bool = False
    create_late: bool = False
    created: bool = False


@dataclass(frozen=True, slots=True)
class State:
    """The claim, the job records and both calls.

    Attributes:
        claimed: Index of the job id that the claim fixes; -1 without a claim.
        jobs: Whether each job id has a record.
    """

    claimed: int = -1
    jobs: tuple[bool, bool] = (False, False)
    calls: tuple[Call, Call] = (Call(), Call())


def list_steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield every possible next step."""
    for index in (0, 1):
        call = state.calls[index]
        if call.step is Step.CLAIM:
            yield from _claim(state, index, rules)
        elif call.step is Step.CLAIM_LOST:
            yield from _resolve_claim(state, index)
        elif call.step is Step.CREATE:
            yield from _create(state, index)
        elif call.step is Step.CREATE_LOST:
            yield from _resolve_create(state, index, rules)
        if call.step in OPEN_STEPS:
            refused = _change(state, index, step=Step.TOLD_NOT_RUN)
            yield f"entry {index} refuses before creating", refused
        yield from _list_late_writes(state, index)


def _change(state: State, index: int, **changes: object) -> State:
    calls = list(state.calls)
    calls[index] = replace(calls[index], **changes)  # type: ignore[arg-type]
    return replace(state, calls=(calls[0], calls[1]))


def _write_claim(state: State, index: int) -> State:
    return state if state.claimed >= 0 else replace(state, claimed=index)


def _write_job(state: State, index: int) -> State:
    job = state.calls[index].job
    if state.jobs[job]:
        return state
    jobs = [exists or number == job for number, exists in enumerate(state.jobs)]
    written = replace(state, jobs=(jobs[0], jobs[1]))
    return _change(written, index, created=True)


def _claim(state: State, index: int, rules: Rules) -> Iterator[tuple[str, State]]:
    name = f"entry {index}"
    if Guard.JOB_ID_CLAIMED not in rules:
        unclaimed = _change(state, index, step=Step.CREATE, job=index)
        yield f"{name} picks a job id", unclaimed
    written = _write_claim(state, index)
    following = _change(written, index, step=Step.CREATE, job=written.claimed)
    yield f"{name} claims, or reads the claim", following
    lost = _change(state, index, step=Step.CLAIM_LOST)
    yield f"{name} claims: lost", lost
    yield f"{name} claims: delayed", _change(lost, index, claim_late=True)
    lost = _change(written, index, step=Step.CLAIM_LOST)
    yield f"{name} claims: lost, with effect", lost


def _resolve_claim(state: State, index: int) -> Iterator[tuple[str, State]]:
    if state.claimed < 0:
        yield f"entry {index} finds no claim", _change(state, index, step=Step.CLAIM)
    else:
        following = _change(state, index, step=Step.CREATE, job=state.claimed)
        yield f"entry {index} reads the claim", following


def _create(state: State, index: int) -> Iterator[tuple[str, State]]:
    name = f"entry {index} creates the job"
    written = _write_job(state, index)
    yield f"{name}: done", _change(written, index, step=Step.TOLD_ACCEPTED)
    lost = _change(state, index, step=Step.CREATE_LOST)
    yield f"{name}: lost", lost
    yield f"{name}: delayed", _change(lost, index, create_late=True)
    lost = _change(written, index, step=Step.CREATE_LOST)
    yield f"{name}: lost, with effect", lost


def _resolve_create(
    state: State, index: int, rules: Rules
) -> Iterator[tuple[str, State]]:
    if state.jobs[state.calls[index].job]:
        told = _change(state, index, step=Step.TOLD_ACCEPTED)
        yield f"entry {index} finds the job", told
        return
    told = _change(state, index, step=Step.TOLD_MAYBE)
    yield f"entry {index} tells 'may have run'", told
    if Guard.LOST_WRITE_NOT_DISPROVED not in rules:
        told = _change(state, index, step=Step.TOLD_NOT_RUN)
        yield f"entry {index} finds no job and tells 'not run'", told


def _list_late_writes(state: State, index: int) -> Iterator[tuple[str, State]]:
    call = state.calls[index]
    if call.claim_late:
        landed = _change(_write_claim(state, index), index, claim_late=False)
        yield f"the lost claim of entry {index} arrives", landed
    if call.create_late:
        landed = _change(_write_job(state, index), index, create_late=False)
        yield f"the lost job of entry {index} arrives", landed


MODEL = Model(
    name="submission",
    initial=State(),
    steps=list_steps,
    properties={
        "one submission makes one job": lambda state: not all(state.jobs),
        "'not run' is true": lambda state: (
            not any(
                call.step is Step.TOLD_NOT_RUN and call.created for call in state.calls
            )
        ),
        "an accepted job is stored": lambda state: (
            not any(
                call.step is Step.TOLD_ACCEPTED and not state.jobs[call.job]
                for call in state.calls
            )
        ),
    },
    witnesses={
        "both calls are told the same job": lambda state: all(
            call.step is Step.TOLD_ACCEPTED and call.job == 0 for call in state.calls
        ),
        "a lost job arrives after 'may have run'": lambda state: any(
            call.step is Step.TOLD_MAYBE and call.created for call in state.calls
        ),
    },
    guards=(Guard.JOB_ID_CLAIMED, Guard.LOST_WRITE_NOT_DISPROVED),
)
