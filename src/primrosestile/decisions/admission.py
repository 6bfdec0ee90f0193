"""Admission control of short requests by their deadlines.

A request that cannot be served by its deadline costs twice: its caller waits for
nothing, and the slot that runs it is lost to a request that would have been in
time. So the decision is made on arrival, from the work already queued and the rate
at which the queue drains, and a refusal says when the same request would be
admitted.
"""

from dataclasses import dataclass

from primrosestile.errors import ErrorKind
from primrosestile.state.tenancy import Urgency

# Chosen for three times the load that the slots can serve. Urgent work has to start
# within 5.8 seconds; admitting only up to about half of that keeps it in time
# although the estimate may be wrong by almost half.
MAX_URGENT_WAIT_SECONDS = 3.0
# Under lasting overload each request is admitted exactly at the limit, so any error
# of the estimate makes it late. Only this share of the slack is used and the rest
# absorbs the error: a refusal on arrival is better than one after nine seconds.
USABLE_SLACK_SHARE = 0.7
# A caller that must wait longer than the maximum abandons its request; a retry sooner
# than the minimum only adds load.
MAX_RETRY_AFTER_SECONDS = 60.0
MIN_RETRY_AFTER_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """One short request that waits for a slot.

    Attributes:
        request_id: Unique among the requests that wait at this process.
        arrived_at: Seconds of the loop's clock.
        deadline: Seconds of the loop's clock; an answer after it is of no use.
        expected_seconds: The declared run time, used until run times are measured.
    """

    request_id: str
    organisation: str
    team: str
    job_class: str
    urgency: Urgency
    idempotent: bool
    arrived_at: float
    deadline: float
    expected_seconds: float

    @property
    def class_key(self) -> tuple[str, str]:
        """Key under which run times are recorded."""
        return (self.team, self.job_class)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request was not run, and when to retry.

    Attributes:
        retry_after: Seconds.
    """

    kind: ErrorKind
    detail: str
    retry_after: float


@dataclass(frozen=True, slots=True)
class WaitEstimate:
    """Expected wait and run time of a request that arrives now.

    Attributes:
        places_left: How many more requests its queue takes; refused at 0 or less.
        wait: Seconds until it would start.
        run: Seconds that it would then run.
    """

    places_left: int
    wait: float
    run: float


def decide_admission(
    waiting: QueuedRequest, estimate: WaitEstimate, now: float
) -> Refusal | None:
    """Return why the request is refused, or None when it is admitted.

    For bursts and lasting overload. It prevents a queue in which every request is
    served just too late, with all slots busy for nothing. The limit is the deadline,
    and for urgent work also `MAX_URGENT_WAIT_SECONDS`. The queue spreads the retry
    times that are returned here.
    """
    time_left = waiting.deadline - now
    if time_left <= 0:
        return Refusal(
            ErrorKind.DEADLINE_PASSED,
            "the deadline passed on arrival",
            MIN_RETRY_AFTER_SECONDS,
        )
    if estimate.places_left <= 0:
        return Refusal(
            ErrorKind.QUEUE_FULL,
            f"the queue of {waiting.organisation} is full",
            estimate.wait,
        )
    allowed = find_max_wait(waiting.urgency, time_left - estimate.run)
    if estimate.wait > allowed:
        detail = (
            f"it would start in {estimate.wait:.1f} s and run {estimate.run:.1f} s, "
            f"{time_left:.1f} s before its deadline"
        )
        return Refusal(ErrorKind.OVERLOADED, detail, estimate.wait - allowed)
    return None


def find_max_wait(urgency: Urgency, slack: float) -> float:
    """Return the longest wait in seconds for which a request is admitted."""
    allowed = slack * USABLE_SLACK_SHARE
    if urgency is Urgency.URGENT:
        return min(allowed, MAX_URGENT_WAIT_SECONDS)
    return allowed
