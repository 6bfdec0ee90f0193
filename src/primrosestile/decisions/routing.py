"""Routing of short requests to targets.

The entry samples a few of the targets on which it may use a slot, and takes the one
with the fewest of its requests in flight, then the fastest one. Sampling keeps the
cost the same for 24 and for thousands of targets, and keeps entries with the same
view from all choosing the same target.
"""

import math
import random
from collections.abc import Iterable, Mapping, Sequence
from enum import Enum

import xxhash

from primrosestile.decisions.admission import QueuedRequest
from primrosestile.decisions.capacity import Capacity
from primrosestile.decisions.headroom import Headroom
from primrosestile.decisions.outliers import make_outliers
from primrosestile.decisions.retries import make_retry_budget
from primrosestile.decisions.service_times import ServiceTimeEstimates
from primrosestile.decisions.stragglers import (
    STRAGGLER_FACTOR,
    STRAGGLER_QUANTILE,
    Running,
    StragglerDetector,
)
from primrosestile.state.tenancy import Policy, Urgency

__all__ = ["Outcome", "Router", "make_router"]

# Targets sampled for one choice; the requests benchmark compares other sizes.
SAMPLE_SIZE = 4
# Run times whose ratio is below 1.5 count as equal. Such differences are noise, and
# without this all entries would follow them to the same fastest target.
SLOWNESS_STEP = math.log(1.5)
# How long nothing is sent to a target that refused a request as not run: others
# hold its slots, and may have freed one after about one request's time.
REFUSED_PAUSE_SECONDS = 0.2
# How long nothing is sent, after each failure, to a target that keeps failing, as it
# may be over the cap on ejections: one request a second detects recovery soon.
FAILING_PAUSE_SECONDS = 1.0
# A hedge is sent when a request has taken longer than this quantile of its class, so
# at most one request in twenty is sent twice.
HEDGE_QUANTILE = 0.95
# Below this a second attempt ends no sooner than the first: it needs a few
# milliseconds to another failure domain and, after a cancelled one, a connection.
MIN_HEDGE_SECONDS = 0.02
# Timeout of an attempt at idempotent work, as a multiple of the class's
# `HEDGE_QUANTILE`: long enough for a busy target, and leaves time for a retry.
ATTEMPT_FACTOR = 4.0
MIN_ATTEMPT_SECONDS = 1.0
# Runs of a class before its quantiles are used.
MIN_SAMPLES = 20


class Outcome(Enum):
    """The outcome of one attempt at a target."""

    OK = "ok"
    FAILED = "failed"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"
    LEAVING = "leaving"
    CANCELLED = "cancelled"


class Router:
    """Requests in flight, health and allowances of all targets of one entry."""

    def __init__(self, process_name: str, policy: Policy) -> None:
        self._capacity = Capacity(process_name)
        self._outliers = make_outliers(policy.quarantine_share)
        self._service_times = ServiceTimeEstimates()
        self._stragglers = StragglerDetector()
        self._paused_failing: set[str] = set()
        self._budget = make_retry_budget(policy.retry_ratio)
        # Randomness only spreads load, so a fixed seed is enough, and tests get the
        # same choices each time.
        self._random = random.Random(xxhash.xxh64_intdigest(process_name.encode()))
        self._headroom = Headroom(policy.patient_share)

    def set_policy(self, policy: Policy) -> None:
        """Apply changed settings; the retry budget earned so far is kept."""
        self._outliers.max_ejected_share = policy.quarantine_share
        self._budget.ratio = policy.retry_ratio
        self._headroom.patient_share = policy.patient_share

    def set_targets(
        self, slots: Mapping[str, int], leaving: frozenset[str], now: float
    ) -> None:
        """Set the targets: the whole fleet, or this entry's part of it."""
        self._outliers.set_targets(slots.keys())
        self._capacity.set_targets(slots, leaving, now)
        self._update_ejected()
        self._paused_failing &= slots.keys()

    def set_grants(
        self,
        cell_workers: Iterable[str],
        grants: Mapping[str, int],
        until: float,
        now: float | None = None,
    ) -> None:
        """Set what the owner of a cell grants until a time of the loop's clock."""
        if now is not None:
            self._advance(now)
        self._capacity.set_grants(cell_workers, grants, until)

    def set_entries(self, names: Sequence[str]) -> None:
        """Set the live entries, including this one."""
        self._capacity.set_entries(names)

    def choose(
        self, waiting: QueuedRequest, now: float, exclude: frozenset[str] = frozenset()
    ) -> str | None:
        """Return the target for a request, or None when no slot is free for it."""
        self._advance(now)
        slots = self._capacity.total_slots
        if not self._headroom.allows(waiting, self._expect_run(waiting), slots):
            return None
        probed = self._choose_probe_target(waiting, now, exclude)
        if probed is not None:
            return probed
        sample = self._capacity.sample(self._random, SAMPLE_SIZE, exclude)
        return min(sample, key=self._rank, default=None)

    def start(self, target: str, waiting: QueuedRequest, now: float) -> None:
        """Record that a request is sent to a target."""
        self._advance(now)
        self._capacity.start(target)
        self._outliers.start_probe(target)
        times = self._service_times.find(waiting.class_key)
        if times is not None and times.count >= MIN_SAMPLES:
            straggler_seconds = (
                times.estimate_quantile(STRAGGLER_QUANTILE) * STRAGGLER_FACTOR
            )
            self._stragglers.start(
                Running(target, waiting.request_id, now, times.mean, straggler_seconds)
            )
        self._headroom.start(target, waiting, self._expect_run(waiting))

    def finish(
        self,
        target: str,
        waiting: QueuedRequest,
        outcome: Outcome,
        seconds: float,
        now: float,
    ) -> None:
        """Record the outcome of an attempt that was started."""
        self._advance(now)
        self._capacity.finish(target)
        was_straggler = self._stragglers.finish(target, waiting.request_id)
        self._headroom.finish(target, waiting)
        if outcome is Outcome.OK:
            expected = self._service_times.estimate(waiting.class_key, seconds)
            self._service_times.note(waiting.class_key, seconds)
            # A straggler was already counted against the target by its age.
            if not was_straggler:
                self._outliers.note_run(target, seconds, expected, now)
        else:
            self._record_failed_attempt(target, outcome, now)
        self._update_ejected()

    def note_leaving(self, target: str) -> None:
        """Record that a target itself reports that it is leaving.

        LEAVING_FROM_EITHER_SOURCE: the VM list lags, and any answer of the target
        carries its own report.
        """
        self._capacity.note_leaving(target)

    def is_leaving(self, target: str, now: float) -> bool:
        """Whether a target is known to be leaving."""
        self._advance(now)
        return self._capacity.is_leaving(target)

    def note_first_attempt(self) -> None:
        """Record a request's first attempt, which earns a share of a retry."""
        self._budget.earn()

    def may_retry(self, waiting: QueuedRequest, now: float) -> bool:
        """Spend one extra attempt of the budget, if it could meet the deadline.

        For a third of the targets failing at once. It prevents load from growing
        just when capacity is short; the limit is the share in the settings.
        """
        run = self._service_times.estimate(waiting.class_key, 0.0)
        if now + run >= waiting.deadline:
            return False
        return self._budget.spend()

    def hedge_after(self, waiting: QueuedRequest, now: float) -> float | None:
        """Return after how many seconds to send a hedge.

        None for work that is not idempotent or not urgent, for a class with too few
        measured runs, without budget, or if the deadline is sooner. The sender calls
        `may_retry` before it hedges.
        """
        if waiting.urgency is not Urgency.URGENT or not waiting.idempotent:
            return None
        times = self._service_times.find(waiting.class_key)
        if times is None or times.count < MIN_SAMPLES:
            return None
        if not self._budget.can_spend():
            return None
        after = max(MIN_HEDGE_SECONDS, times.estimate_quantile(HEDGE_QUANTILE))
        return after if now + after < waiting.deadline else None

    def limit_attempt(self, waiting: QueuedRequest, now: float) -> float:
        """Return the timeout of one attempt in seconds.

        For connections that stay silent and targets that hang: an attempt that lasts
        until the deadline leaves no time for a retry. Only idempotent work gets a
        timeout before its deadline, and only while the retry budget allows a retry;
        if run times become far longer than measured, the budget is soon used up and
        attempts run to their end.
        """
        left = waiting.deadline - now
        if not waiting.idempotent or not self._budget.can_spend():
            return left
        usual = waiting.expected_seconds
        times = self._service_times.find(waiting.class_key)
        if times is not None and times.count >= MIN_SAMPLES:
            usual = times.estimate_quantile(HEDGE_QUANTILE)
        return min(left, max(MIN_ATTEMPT_SECONDS, ATTEMPT_FACTOR * usual))

    def has_free_slot(self, now: float) -> bool:
        """Whether any slot is free."""
        self._advance(now)
        return self._capacity.has_free()

    def count_slots(self, now: float) -> int:
        """Return the slots that this entry may use, free or not."""
        self._advance(now)
        return self._capacity.total_slots

    def count_in_flight(self) -> dict[str, int]:
        """Return the requests of this entry at each target that has any."""
        return self._capacity.count_in_flight()

    def _rank(self, target: str) -> tuple[int, int]:
        """Return the sort key of a target: load first, then slowness; lowest is best.

        A consecutive failure counts as much as a request in flight. Otherwise a
        target that fails at once, and so is always empty, would always be chosen.
        """
        health = self._outliers.find(target)
        load = self._capacity.count_at(target)
        if health is None:
            return (load, 0)
        return (
            load + health.consecutive_failures,
            int(health.slowness / SLOWNESS_STEP),
        )

    def _expect_run(self, waiting: QueuedRequest) -> float:
        return self._service_times.estimate(waiting.class_key, waiting.expected_seconds)

    def _choose_probe_target(
        self, waiting: QueuedRequest, now: float, exclude: frozenset[str]
    ) -> str | None:
        """Return an ejected target due for a probe, if the request is idempotent."""
        if not waiting.idempotent:
            return None
        urgent = waiting.urgency is Urgency.URGENT
        for target in self._outliers.list_due_probes(now, urgent):
            if target not in exclude and self._capacity.has_room(target):
                return target
        return None

    def _record_failed_attempt(self, target: str, outcome: Outcome, now: float) -> None:
        if outcome in (Outcome.FAILED, Outcome.UNREACHABLE, Outcome.UNKNOWN):
            self._outliers.note_failure(target, now)
            self._pause_failing(target)
            return
        self._outliers.cancel_probe(target)
        if outcome is Outcome.REFUSED:
            self._capacity.pause(target, REFUSED_PAUSE_SECONDS)
        if outcome is Outcome.LEAVING:
            self._capacity.note_leaving(target)

    def _pause_failing(self, target: str) -> None:
        if self._outliers.must_pause(target):
            self._capacity.pause(target, FAILING_PAUSE_SECONDS)
            self._paused_failing.add(target)
        elif self._outliers.are_most_failing():
            # Most targets fail, so pausing them gains nothing; use any that is free.
            for paused in sorted(self._paused_failing):
                self._capacity.resume(paused)
            self._paused_failing.clear()

    def _record_stragglers(self, now: float) -> None:
        found = self._stragglers.collect(now)
        for running in found:
            age = now - running.started_at
            self._outliers.note_straggler(running.target, age, running.expected, now)
        if found:
            self._update_ejected()

    def _update_ejected(self) -> None:
        for target in self._outliers.collect_changed():
            self._capacity.set_ejected(target, self._outliers.is_ejected(target))

    def _advance(self, now: float) -> None:
        self._capacity.advance(now)
        self._record_stragglers(now)
        self._headroom.advance(now)


def make_router(process_name: str, policy: Policy) -> Router:
    """Return a router without targets; the name seeds its random choices."""
    return Router(process_name, policy)
