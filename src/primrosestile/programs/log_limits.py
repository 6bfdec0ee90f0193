"""Rate limits for log lines, with separate budgets for outcomes and other lines.

Lines that explain the outcome of a caller's request or job have their own budget, so
that lines about the fleet, of which a takeover or a fault writes hundreds at once,
never displace them.
"""

import time
from collections.abc import Callable

import structlog

from primrosestile.decisions.rate_budget import RateBudget

# Events that explain the outcome of a request, a job or a run.
OUTCOME_EVENTS = frozenset(
    {
        "call_refused",
        "call_failed",
        "cancel_accepted",
        "eviction_failed",
        "gang_start_failed",
        "gang_started",
        "job_accepted",
        "job_action_stopped",
        "job_admitted",
        "job_cancelled",
        "job_ended",
        "job_moved",
        "job_not_known",
        "job_refused_under_load",
        "last_record_removed",
        "last_record_stands",
        "reclaimed",
        "refused",
        "request_broke",
        "request_failed",
        "run_decided",
        "run_ended",
        "run_evacuated",
        "run_gone",
        "run_preempted",
        "run_restarted_elsewhere",
        "run_started",
        "start_refused",
        "start_unanswered",
        "stop_refused",
        "stop_unanswered",
        "orphan_stopped",
    }
)
OUTCOME_LINES_PER_SECOND = 2_000
# Many jobs may start within one second, and all their lines must be written.
OUTCOME_BURST_LINES = 4_000
OTHER_LINES_PER_SECOND = 400


class LineBounds:
    """A structlog processor that drops lines over the rate limit.

    Args:
        count_dropped: Called with the event of each dropped line.
        read_time: A monotonic clock, in seconds.
    """

    def __init__(
        self,
        count_dropped: Callable[[str], None],
        read_time: Callable[[], float] = time.monotonic,
    ) -> None:
        self._count_dropped = count_dropped
        self._read_time = read_time
        self._outcomes = RateBudget(OUTCOME_LINES_PER_SECOND, OUTCOME_BURST_LINES)
        self._others = RateBudget(OTHER_LINES_PER_SECOND, OTHER_LINES_PER_SECOND)
        self._dropped = 0

    def __call__(
        self, logger: object, method: str, line: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Return the line; the first one after a drop carries the number dropped.

        Raises:
            structlog.DropEvent: The line is over the limit.
        """
        event = str(line.get("event", ""))
        budget = self._outcomes if event in OUTCOME_EVENTS else self._others
        if not budget.take(self._read_time()):
            self._dropped += 1
            self._count_dropped(event)
            raise structlog.DropEvent
        if self._dropped:
            line["lines_dropped"] = self._dropped
            self._dropped = 0
        return line
