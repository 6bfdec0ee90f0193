"""Parsing and validation of callers' short requests and jobs.

An invalid body is refused before any further work is done for it; later stages get
typed values only.
"""

from dataclasses import dataclass
from typing import TypeVar

import msgspec

from primrosestile.coordination.submission import make_job_id
from primrosestile.decisions.access import Rights
from primrosestile.decisions.settings_view import view_settings
from primrosestile.errors import ErrorKind, Failure
from primrosestile.state.decoding import Undecodable, decode_json
from primrosestile.state.jobs import JobSpec
from primrosestile.state.settings import Settings
from primrosestile.state.tenancy import Adjacency, JobClass, Kind, Shape, Team

# Requests and answers are short; render data does not pass through the entry.
BODY_LIMIT_BYTES = 256 * 1024
PAYLOAD_LIMIT_BYTES = 64 * 1024
REQUEST_ID_LIMIT = 128
# Maximum deadline of a short request, during which its connection stays open.
DEADLINE_LIMIT_SECONDS = 600.0
DECLARED_LIMIT_SECONDS = 30 * 86400.0

T = TypeVar("T")


class RequestBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a short request."""

    team: str
    job_class: str = msgspec.field(name="class")
    body: str = ""
    deadline_seconds: float | None = None


class ShapeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The shape in the body of a gang job."""

    accelerators: int
    adjacency: Adjacency = Adjacency.WORKER


class JobBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a gang job."""

    team: str
    job_class: str = msgspec.field(name="class")
    shape: ShapeBody | None = None
    declared_seconds: float | None = None
    payload: str = ""


@dataclass(frozen=True, slots=True)
class Caller:
    """The team and job class of a request."""

    team: Team
    job_class: JobClass


def decode_body(data: bytes, form: type[T]) -> T:
    """Return the decoded body of a request or job.

    Raises:
        Failure: MALFORMED, with the position of the fault.
    """
    try:
        return decode_json(data, form)
    except Undecodable as error:
        raise Failure(ErrorKind.MALFORMED, str(error)) from error


def find_caller(
    settings: Settings, rights: Rights, team_name: str, class_name: str, kind: Kind
) -> Caller:
    """Return the team and class that a request names.

    Raises:
        Failure: FORBIDDEN for another team than the key's, also for one that does
            not exist, so that keys can't be used to probe for names; UNKNOWN_CLASS.
    """
    team = view_settings(settings).teams.get(team_name)
    if team is None or not rights.may_act_for(team):
        raise Failure(ErrorKind.FORBIDDEN, f"the key is not valid for team {team_name}")
    job_class = team.find_class(class_name)
    if job_class is None or job_class.kind is not kind:
        raise Failure(
            ErrorKind.UNKNOWN_CLASS,
            f"team {team_name} has no {kind.value} class of that name",
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
    """Return the deadline of a request in seconds from now.

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
    """Return the requested job with a new id."""
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
    """Check a job and return its shape.

    Raises:
        Failure: MALFORMED for values out of bounds, TOO_LARGE for the payload,
            NEVER_FITS for a shape larger than the team's quota.
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
