"""What callers send for short requests and jobs, read and checked.

A body that is wrong in any way is refused before it costs more than its reading;
whatever is accepted here is typed from then on.
"""

from dataclasses import dataclass
from typing import TypeVar

import msgspec

from primrosestile.coordination.submission import make_job_id
from primrosestile.decisions.access import Rights
from primrosestile.decisions.settings_view import view_settings
from primrosestile.errors import ErrorKind, Failure
from primrosestile.state.jobs import JobSpec
from primrosestile.state.settings import Settings
from primrosestile.state.tenancy import Adjacency, JobClass, Kind, Shape, Team

# A target's answer and a request are short; renders travel by their own ways.
BODY_LIMIT_BYTES = 256 * 1024
PAYLOAD_LIMIT_BYTES = 64 * 1024
REQUEST_ID_LIMIT = 128
# The longest that a caller may ask to wait: its connection is held all the while.
DEADLINE_LIMIT_SECONDS = 600.0
DECLARED_LIMIT_SECONDS = 30 * 86400.0

T = TypeVar("T")


class RequestBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A short request as a caller sends it."""

    team: str
    job_class: str = msgspec.field(name="class")
    body: str = ""
    deadline_seconds: float | None = None


class ShapeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A shape as a caller sends it."""

    accelerators: int
    adjacency: Adjacency = Adjacency.WORKER


class JobBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A gang job as a caller sends it."""

    team: str
    job_class: str = msgspec.field(name="class")
    shape: ShapeBody | None = None
    declared_seconds: float | None = None
    payload: str = ""


@dataclass(frozen=True, slots=True)
class Caller:
    """Whose request it is, and of which class."""

    team: Team
    job_class: JobClass


def decode_body(data: bytes, form: type[T]) -> T:
    """Return the request or the job in a body.

    Raises:
        Failure: MALFORMED, with the place of the fault.
    """
    try:
        return msgspec.json.decode(data, type=form)
    except msgspec.MsgspecError as error:
        raise Failure(ErrorKind.MALFORMED, str(error)) from error


def find_caller(
    settings: Settings, rights: Rights, team_name: str, class_name: str, kind: Kind
) -> Caller:
    """Return the team and class that a request names.

    Raises:
        Failure: FORBIDDEN for another team than the key's, also for one that does
            not exist, so that keys can't be used to find out names; UNKNOWN_CLASS.
    """
    team = view_settings(settings).teams.get(team_name)
    if team is None or not rights.may_act_for(team):
        raise Failure(ErrorKind.FORBIDDEN, f"the key is not for team {team_name}")
    job_class = team.find_class(class_name)
    if job_class is None or job_class.kind is not kind:
        raise Failure(
            ErrorKind.UNKNOWN_CLASS, f"team {team_name} has no {kind.value} of it"
        )
    return Caller(team, job_class)


def check_request_id(request_id: str, idempotent: bool) -> None:
    """Check the caller's own id.

    Raises:
        Failure: MISSING_REQUEST_ID for non-idempotent work, MALFORMED.
    """
    if not request_id and not idempotent:
        raise Failure(ErrorKind.MISSING_REQUEST_ID, "X-Request-Id is not set")
    if len(request_id) > REQUEST_ID_LIMIT or not request_id.isprintable():
        raise Failure(ErrorKind.MALFORMED, "X-Request-Id is too long or unprintable")
    if "/" in request_id:
        raise Failure(ErrorKind.MALFORMED, "X-Request-Id may not contain a slash")


def check_deadline(asked: float | None, job_class: JobClass) -> float:
    """Return the seconds that the caller will wait.

    Raises:
        Failure: MALFORMED when it is out of bounds.
    """
    seconds = job_class.deadline_seconds if asked is None else asked
    if not 0.0 < seconds <= DEADLINE_LIMIT_SECONDS:
        raise Failure(
            ErrorKind.MALFORMED,
            f"deadline_seconds must be above 0 and at most {DEADLINE_LIMIT_SECONDS}",
        )
    return seconds


def make_spec(body: JobBody, caller: Caller, cell: str, shape: Shape) -> JobSpec:
    """Return the job that a caller asks for, under a new id."""
    job_class = caller.job_class
    declared = body.declared_seconds
    return JobSpec(
        job_id=make_job_id(cell),
        organisation=caller.team.organisation,
        team=caller.team.name,
        job_class=job_class.name,
        shape=shape,
        urgency=job_class.urgency,
        restartable=job_class.idempotent,
        checkpoints=job_class.checkpoints,
        declared_seconds=job_class.expected_seconds if declared is None else declared,
        payload=body.payload,
    )


def check_job(body: JobBody, caller: Caller) -> Shape:
    """Return the shape of a job.

    Raises:
        Failure: MALFORMED for values out of bounds; OVER_QUOTA for a shape that
            is larger than all that the team may hold.
    """
    declared = body.declared_seconds
    if declared is not None and not 0.0 < declared <= DECLARED_LIMIT_SECONDS:
        raise Failure(ErrorKind.MALFORMED, "declared_seconds is out of bounds")
    if len(body.payload) > PAYLOAD_LIMIT_BYTES:
        raise Failure(ErrorKind.TOO_LARGE, f"payload of {len(body.payload)} bytes")
    shape = caller.job_class.shape
    if body.shape is not None:
        shape = Shape(body.shape.accelerators, body.shape.adjacency)
    if shape is None or shape.accelerators < 1:
        raise Failure(ErrorKind.MALFORMED, "shape.accelerators must be at least 1")
    if shape.accelerators > caller.team.quota_accelerators:
        raise Failure(
            ErrorKind.NEVER_FITS,
            f"the team's quota is {caller.team.quota_accelerators} accelerators",
        )
    return shape
