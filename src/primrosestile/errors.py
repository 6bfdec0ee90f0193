"""The closed list of error kinds, and the table that maps each kind to its answer.

Callers act on two facts: whether their work may have run, and when to retry. If
each call site chose its own status and wording, an error could say "not run" about
work that had reached a target, and the caller would send it a second time. Both
facts are therefore properties of the kind, kept in one table that can be tested
and printed.
"""

from dataclasses import dataclass
from enum import Enum


class Ran(Enum):
    """What is known about whether the refused or failed work ran."""

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"


class ErrorKind(Enum):
    """Every way in which a request, a job or a command can fail."""

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    MISSING_REQUEST_ID = "missing_request_id"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_ORGANISATION = "unknown_organisation"
    UNKNOWN_TEAM = "unknown_team"
    UNKNOWN_CLASS = "unknown_class"
    NOT_FOUND = "not_found"
    NEVER_FITS = "never_fits"
    NO_WORKER_FITS = "no_worker_fits"
    OVER_QUOTA = "over_quota"
    QUEUE_FULL = "queue_full"
    OVERLOADED = "overloaded"
    DEADLINE_PASSED = "deadline_passed"
    DEADLINE_UNKNOWN = "deadline_unknown"
    METHOD_UNKNOWN = "method_unknown"
    NO_TARGET = "no_target"
    TARGET_REFUSED = "target_refused"
    TARGET_FAILED = "target_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    EARLIER_SENDING_UNKNOWN = "earlier_sending_unknown"
    IN_PROGRESS = "in_progress"
    ALREADY_DONE = "already_done"
    CANCELLED = "cancelled"
    CONFLICT = "conflict"
    INVALID_SETTINGS = "invalid_settings"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_ANSWER_LOST = "store_answer_lost"
    ADVICE_UNAVAILABLE = "advice_unavailable"
    LIST_UNAVAILABLE = "list_unavailable"
    WORKER_UNREACHABLE = "worker_unreachable"
    STALE_EPOCH = "stale_epoch"
    NOT_OWNER = "not_owner"
    LEAVING = "leaving"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer that a caller gets for one kind of error.

    Attributes:
        status: HTTP status.
        ran: Whether the work may have run.
        retry_after: Seconds to wait before a retry; None when an unchanged retry
            would fail again.
        remedy: What to do next, as a sentence.
    """

    status: int
    ran: Ran
    retry_after: float | None
    remedy: str


_NOT = Ran.NOT_RUN
_MAY = Ran.MAY_HAVE_RUN

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.MALFORMED: Answer(
        400, _NOT, None, "Correct the body; it must be JSON of the documented form."
    ),
    ErrorKind.TOO_LARGE: Answer(413, _NOT, None, "Send a smaller body."),
    ErrorKind.MISSING_REQUEST_ID: Answer(
        400, _NOT, None, "Send a request id of your own with non-idempotent work."
    ),
    ErrorKind.UNAUTHENTICATED: Answer(
        401, _NOT, None, "Send a bearer token that an operator has issued."
    ),
    ErrorKind.FORBIDDEN: Answer(
        403, _NOT, None, "Ask an operator for a key with this scope."
    ),
    ErrorKind.UNKNOWN_ORGANISATION: Answer(
        404, _NOT, None, "Name an organisation that is in the settings."
    ),
    ErrorKind.UNKNOWN_TEAM: Answer(
        404, _NOT, None, "Name a team that is in the settings."
    ),
    ErrorKind.UNKNOWN_CLASS: Answer(
        404, _NOT, None, "Name a job class that is in your team's settings."
    ),
    ErrorKind.NOT_FOUND: Answer(404, _NOT, None, "Check the id or the path."),
    ErrorKind.NEVER_FITS: Answer(
        422, _NOT, None, "Request a shape that fits into one cell of the fleet."
    ),
    # Callers on the users' platform take only 429 and 503 for "not accepted".
    ErrorKind.NO_WORKER_FITS: Answer(
        503, _NOT, 10.0, "Ask for tasks that one worker of the pool and label can hold."
    ),
    ErrorKind.OVER_QUOTA: Answer(
        429, _NOT, 30.0, "Wait for the team's work to end, or raise its quota."
    ),
    ErrorKind.QUEUE_FULL: Answer(429, _NOT, 2.0, "Retry after the given time."),
    ErrorKind.OVERLOADED: Answer(503, _NOT, 2.0, "Retry after the given time."),
    ErrorKind.DEADLINE_PASSED: Answer(
        504, _NOT, 1.0, "Retry, or allow a longer deadline."
    ),
    ErrorKind.DEADLINE_UNKNOWN: Answer(
        504, _MAY, 1.0, "Query the state of the same id, or send it again."
    ),
    ErrorKind.METHOD_UNKNOWN: Answer(405, _NOT, None, "Use POST, GET or DELETE."),
    ErrorKind.NO_TARGET: Answer(503, _NOT, 2.0, "Retry after the given time."),
    ErrorKind.TARGET_REFUSED: Answer(503, _NOT, 1.0, "Retry after the given time."),
    ErrorKind.TARGET_FAILED: Answer(
        502, _MAY, None, "The target ran the work and reported a failure."
    ),
    ErrorKind.OUTCOME_UNKNOWN: Answer(
        502, _MAY, None, "Check for the work's effect before sending it again."
    ),
    ErrorKind.EARLIER_SENDING_UNKNOWN: Answer(
        503,
        _MAY,
        5.0,
        "This attempt was not run, but an earlier one with the same id may have "
        "been; retry with the same id, or send X-Attempt: 1 with a first attempt.",
    ),
    ErrorKind.IN_PROGRESS: Answer(
        409, _MAY, 2.0, "The same request id is in progress; retry with the same id."
    ),
    ErrorKind.ALREADY_DONE: Answer(
        409, _MAY, None, "The request ran once; its answer is no longer stored."
    ),
    ErrorKind.CANCELLED: Answer(
        409, _NOT, None, "The work was cancelled before it ran."
    ),
    ErrorKind.CONFLICT: Answer(
        409,
        _NOT,
        None,
        "Read the current revision, compare, and send the change again.",
    ),
    ErrorKind.INVALID_SETTINGS: Answer(422, _NOT, None, "Correct each listed fault."),
    ErrorKind.STORE_UNAVAILABLE: Answer(
        503, _NOT, 1.0, "The platform's store does not answer; retry later."
    ),
    ErrorKind.STORE_ANSWER_LOST: Answer(
        504, _MAY, 5.0, "Query the state of the same id before sending it again."
    ),
    ErrorKind.ADVICE_UNAVAILABLE: Answer(
        503, _NOT, 1.0, "The service that lists a queue's workers is busy; retry."
    ),
    ErrorKind.LIST_UNAVAILABLE: Answer(
        502, _MAY, 1.0, "Read the list of VMs again; an order may have taken effect."
    ),
    ErrorKind.WORKER_UNREACHABLE: Answer(
        502, _MAY, 2.0, "Query the state of the same id before sending it again."
    ),
    ErrorKind.STALE_EPOCH: Answer(409, _NOT, 1.0, "The cell has a newer owner; retry."),
    ErrorKind.NOT_OWNER: Answer(503, _NOT, 1.0, "The cell has another owner; retry."),
    ErrorKind.LEAVING: Answer(503, _NOT, 1.0, "This process is shutting down; retry."),
    ErrorKind.INTERNAL: Answer(
        500, _MAY, None, "Report the request id to the operators."
    ),
}


class Failure(Exception):
    """The one exception that carries an error kind between layers.

    Attributes:
        kind: The kind, from the closed list.
        detail: What happened, for people; never a secret.
        retry_after: Seconds; overrides the value of the table where a better one
            is known.
        silent: No part of an answer came in time, not even a refused connection.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = "",
        retry_after: float | None = None,
        silent: bool = False,
    ) -> None:
        super().__init__(f"{kind.value}: {detail}" if detail else kind.value)
        self.kind = kind
        self.detail = detail
        self.retry_after = retry_after
        self.silent = silent

    @property
    def answer(self) -> Answer:
        """The row of the table for this kind."""
        return ANSWERS[self.kind]

    @property
    def not_run(self) -> bool:
        """Whether the work is known not to have run."""
        return self.answer.ran is Ran.NOT_RUN

    @property
    def retry_delay(self) -> float | None:
        """Seconds to wait before a retry, or None."""
        if self.retry_after is not None:
            return self.retry_after
        return self.answer.retry_after
