"""Decodes the jobs that callers on the platform submit, and encodes the answers."""

from typing import Annotated

import msgspec

from primrosestile.errors import ErrorKind, Failure
from primrosestile.state.decoding import Undecodable, decode_json
from primrosestile.state.policy import Queue
from primrosestile.state.work import JobState, Need, Repeats, Step, Submission

JOB_ID_DIGITS = 16
PAYLOAD_LIMIT_BYTES = 4000
KEY_SCHEME = "Token"
DEADLINE_HEADER = "Deadline-Ms"
# No caller has more steps or tasks than this; a body with more is a mistake, and would
# delay scheduling for all other callers.
STEP_LIMIT = 64
TASK_LIMIT = 4096

# What JSON readers hold exactly. Larger numbers don't fit into the stored record.
NUMBER_LIMIT = 2**53

_HEX = frozenset("0123456789abcdef")
_Int = Annotated[int, msgspec.Meta(ge=-NUMBER_LIMIT, le=NUMBER_LIMIT)]


class _Step(msgspec.Struct, frozen=True):
    """`cpu`: thousandths of a core. `constraints`: one label, not several.

    `affinity`: the rack of the data. `anti_affinity`: the most tasks on one worker.
    """

    count: _Int = 1
    cpu: _Int = 0
    mem_mb: _Int = 0
    gpu: _Int = 0
    estimate_ms: float = 0.0
    after: list[_Int] = []
    checkpoint: bool = False
    gang: bool = False
    same_rack: bool = False
    constraints: str = ""
    affinity: str = ""
    anti_affinity: _Int = 0
    speculative: bool = False
    daemon: bool = False
    image: str = ""
    target_ms: float = 0.0
    fills: bool = False
    may_miss: _Int = 0


class _Job(msgspec.Struct, frozen=True):
    """`start_at_ms`: milliseconds since 1970; ignored without `repeat_count`."""

    spec: str
    steps: list[_Step]
    repeat_count: _Int = 0
    start_at_ms: float = 0.0
    interval_ms: float = 0.0


def is_job_id(text: str) -> bool:
    """Whether a text is the id of a job."""
    return len(text) == JOB_ID_DIGITS and _HEX.issuperset(text.lower())


def read_submission(
    body: bytes, job_id: str, queue: Queue, organisation: str, accepted_at: float
) -> Submission:
    """Decode the job in a request body.

    Raises:
        Failure: MALFORMED when the body is not a job.
    """
    try:
        job = decode_json(body, _Job)
    except Undecodable as error:
        raise Failure(ErrorKind.MALFORMED, str(error)) from error
    _check_job(job)
    repeats = Repeats()
    if job.repeat_count > 0:
        repeats = Repeats(
            job.repeat_count, job.start_at_ms / 1000, job.interval_ms / 1000
        )
    return Submission(
        job_id=job_id,
        queue=queue.name,
        organisation=organisation,
        pool=queue.pool,
        payload=job.spec,
        steps=tuple(_make_step(step) for step in job.steps),
        repeats=repeats,
        accepted_at=accepted_at,
        attempts=queue.attempts,
        priority=queue.priority,
        advised=queue.advised,
    )


def _check_job(job: _Job) -> None:
    if len(job.spec.encode()) > PAYLOAD_LIMIT_BYTES:
        raise Failure(ErrorKind.MALFORMED, "spec is too long")
    if not job.steps or len(job.steps) > STEP_LIMIT:
        raise Failure(ErrorKind.MALFORMED, f"give 1 to {STEP_LIMIT} steps")
    if sum(max(step.count, 0) for step in job.steps) > TASK_LIMIT:
        raise Failure(ErrorKind.MALFORMED, f"give at most {TASK_LIMIT} tasks")
    for position, step in enumerate(job.steps):
        if step.count < 1 or min(step.cpu, step.mem_mb, step.gpu) < 0:
            raise Failure(ErrorKind.MALFORMED, f"step {position}: a number is too low")
        if any(not 0 <= each < position for each in step.after):
            raise Failure(
                ErrorKind.MALFORMED, f"step {position}: after names no earlier step"
            )


def _make_step(step: _Step) -> Step:
    return Step(
        count=step.count,
        need=Need(step.cpu, step.mem_mb, step.gpu),
        estimate_seconds=step.estimate_ms / 1000,
        after=tuple(step.after),
        gang=step.gang,
        one_rack=step.same_rack,
        label=step.constraints,
        data_rack=step.affinity,
        max_per_worker=step.anti_affinity,
        checkpoints=step.checkpoint,
        speculative=step.speculative,
        daemon=step.daemon,
        image=step.image,
        latency_target_seconds=step.target_ms / 1000,
        best_effort=step.fills,
        max_unavailable=step.may_miss,
    )


def make_state_body(state: JobState) -> bytes:
    """Return the answer to a query for a job's state."""
    return msgspec.json.encode({"state": state.value})


def make_refusal_body(reason: str) -> bytes:
    """Return the body of a refusal, for people; callers act on its status."""
    return msgspec.json.encode({"reason": reason})


def make_pending_body(count: int) -> bytes:
    """Return the answer to a query for the number of a queue's waiting jobs."""
    return msgspec.json.encode({"pending": count})
