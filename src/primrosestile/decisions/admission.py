"""Whether a short request is let into the queue, and what a refused caller is told.

A request that can not be served by its deadline costs twice: its caller waits
for nothing, and the slot that ends up running it is lost to one that would have
been in time. So the decision is made on arrival, from the work that is already
waiting and the rate at which it has been leaving, and a refusal says when the
same request would be let in.
"""

from dataclasses import dataclass

from primrosestile.errors import ErrorKind
from primrosestile.state.tenancy import Urgency

# Made for three times the load that the slots can serve. Urgent work has to
# start within 5.8 seconds, so the queue never promises a wait that is close to
# it: the estimate may be wrong by almost half before a caller notices.
MOST_URGENT_WAIT = 3.0
# Under lasting overload each request is let in at the very limit, so any error of
# the estimate makes it late. This part of the time left absorbs the error: a
# refusal on arrival is worth more to a caller than one after nine seconds.
PROMISED_SHARE = 0.7
# A caller told to come back later than this rather goes away; one told to come
# back sooner than this only adds load.
LONGEST_RETRY = 60.0
SHORTEST_RETRY = 0.1


@dataclass(frozen=True, slots=True)
class Waiting:
    """One short request that waits for a slot.

    Attributes:
        request_id: Unique among the requests that wait at this process.
        arrived_at: Seconds of the loop's clock.
        deadline: Seconds of the loop's clock; an answer after it is of no use.
        expected_seconds: The declared run time, used until there is experience.
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
        """What run times are learned by."""
        return (self.team, self.job_class)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request was not run, and when to come back.

    Attributes:
        retry_after: Seconds.
    """

    kind: ErrorKind
    detail: str
    retry_after: float


@dataclass(frozen=True, slots=True)
class Prospect:
    """What a request that arrives now has to expect.

    Attributes:
        places_left: How many more requests its queue takes; none left refuses.
        wait: Seconds until it would start.
        run: Seconds that it would then run.
    """

    places_left: int
    wait: float
    run: float


def decide_admission(
    waiting: Waiting, prospect: Prospect, now: float
) -> Refusal | None:
    """Return why the request is refused, or None when it may wait.

    Made for bursts and for lasting overload. The harm prevented is a queue in
    which every request is served just too late: all slots are busy and no caller
    is content. The limit is the deadline itself, and for urgent work also
    `MOST_URGENT_WAIT`. Retry times are still raw here: the queue spreads them.
    """
    time_left = waiting.deadline - now
    if time_left <= 0:
        return Refusal(
            ErrorKind.DEADLINE_PASSED, "the deadline passed on arrival", SHORTEST_RETRY
        )
    if prospect.places_left <= 0:
        return Refusal(
            ErrorKind.QUEUE_FULL,
            f"the queue of {waiting.organisation} is full",
            prospect.wait,
        )
    allowed = allow_wait(waiting.urgency, time_left - prospect.run)
    if prospect.wait > allowed:
        detail = (
            f"it would start in {prospect.wait:.1f} s and run {prospect.run:.1f} s, "
            f"{time_left:.1f} s before its deadline"
        )
        return Refusal(ErrorKind.OVERLOADED, detail, prospect.wait - allowed)
    return None


def allow_wait(urgency: Urgency, slack: float) -> float:
    """Return the longest wait in seconds that is worth queueing for."""
    allowed = slack * PROMISED_SHARE
    if urgency is Urgency.URGENT:
        return min(allowed, MOST_URGENT_WAIT)
    return allowed
