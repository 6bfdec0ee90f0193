"""Which target a short request goes to.

The entry picks among targets on which it may use a slot. It looks at a few of
them, not all, and takes the one with the fewest of its requests, then the one
that has been fastest. Looking at a few keeps the cost the same for 24 and for
thousands of targets, and keeps entries that think alike from running to the
same target at once.
"""

import math
import random
from collections.abc import Iterable, Mapping, Sequence
from enum import Enum

import xxhash

from primrosestile.decisions.admission import Waiting
from primrosestile.decisions.capacity import Capacity
from primrosestile.decisions.headroom import Headroom
from primrosestile.decisions.outliers import make_outliers
from primrosestile.decisions.overdue import (
    OVERDUE_FACTOR,
    OVERDUE_QUANTILE,
    OverdueWatch,
    Running,
)
from primrosestile.decisions.retries import make_retry_budget
from primrosestile.decisions.servicetimes import Experience
from primrosestile.state.tenancy import Policy, Urgency

__all__ = ["Outcome", "Router", "make_router"]

# Targets looked at for one choice. The bench of requests weighs other figures.
SAMPLE = 4
# Recent run times that differ by less than a half count as the same. Chance makes
# such differences, and all entries would run after the same fastest target.
LOG_STEP = math.log(1.5)
# How long a target that refused, as not run, is left alone: others hold its
# slots, and about one request's time later that may have changed.
REFUSED_SECONDS = 0.2
# How long one that keeps failing is left alone after each failure, where too many
# are set aside already: one request a second shows soon enough that it is well.
FAILING_PAUSE_SECONDS = 1.0
# A hedge is sent when a request has taken longer than this share of its class:
# at most one request in twenty is sent twice.
HEDGE_QUANTILE = 0.95
# Below this a second sending ends no sooner than the first: it takes a way of a few
# milliseconds to another failure domain and, after a cancelled one, a connection.
LEAST_HEDGE_SECONDS = 0.02
# A try of work that may be sent again ends after four times what nearly all of its
# class take: late enough for a busy target, early enough to leave time for another.
TRY_FACTOR = 4.0
LEAST_TRY_SECONDS = 1.0
# Runs of a class from which its quantiles are taken for known.
ENOUGH_SAMPLES = 20


class Outcome(Enum):
    """What became of one attempt at a target."""

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
        self._experience = Experience()
        self._overdue = OverdueWatch()
        self._paused_failing: set[str] = set()
        self._budget = make_retry_budget(policy.retry_ratio)
        # Only spreads load, so a fixed seed takes nothing away, and a test sees
        # the same choices each time.
        self._random = random.Random(xxhash.xxh64_intdigest(process_name.encode()))
        self._headroom = Headroom(policy.patient_share)

    def set_policy(self, policy: Policy) -> None:
        """Follow a change of settings; the budget earned so far is kept."""
        self._outliers.most_share = policy.quarantine_share
        self._budget.ratio = policy.retry_ratio
        self._headroom.patient_share = policy.patient_share

    def set_targets(
        self, slots: Mapping[str, int], leaving: frozenset[str], now: float
    ) -> None:
        """Take in the whole fleet, or this entry's part of it."""
        self._outliers.set_targets(slots.keys())
        self._capacity.set_targets(slots, leaving, now)
        self._set_resting()
        self._paused_failing &= slots.keys()

    def set_grants(
        self,
        cell_workers: Iterable[str],
        grants: Mapping[str, int],
        until: float,
        now: float | None = None,
    ) -> None:
        """Take in what the owner of a cell grants, until then on the loop's clock."""
        if now is not None:
            self._advance(now)
        self._capacity.set_grants(cell_workers, grants, until)

    def set_entries(self, names: Sequence[str]) -> None:
        """Take in the live entries, this one among them."""
        self._capacity.set_entries(names)

    def choose(
        self, waiting: Waiting, now: float, exclude: frozenset[str] = frozenset()
    ) -> str | None:
        """Return the target for a request, or None when no slot is free for it."""
        self._advance(now)
        slots = self._capacity.total_slots
        if not self._headroom.allows(waiting, self._expect_run(waiting), slots):
            return None
        tried = self._choose_to_try(waiting, now, exclude)
        if tried is not None:
            return tried
        sample = self._capacity.sample(self._random, SAMPLE, exclude)
        return min(sample, key=self._rank, default=None)

    def start(self, target: str, waiting: Waiting, now: float) -> None:
        """Note that a request is sent to a target."""
        self._advance(now)
        self._capacity.start(target)
        self._outliers.start_try(target)
        times = self._experience.find(waiting.class_key)
        if times is not None and times.count >= ENOUGH_SAMPLES:
            remarkable = times.estimate_quantile(OVERDUE_QUANTILE) * OVERDUE_FACTOR
            self._overdue.start(
                Running(target, waiting.request_id, now, times.mean, remarkable)
            )
        self._headroom.start(target, waiting, self._expect_run(waiting))

    def finish(
        self,
        target: str,
        waiting: Waiting,
        outcome: Outcome,
        seconds: float,
        now: float,
    ) -> None:
        """Note what became of an attempt that was started."""
        self._advance(now)
        self._capacity.finish(target)
        was_overdue = self._overdue.finish(target, waiting.request_id)
        self._headroom.finish(target, waiting)
        if outcome is Outcome.OK:
            expected = self._experience.estimate(waiting.class_key, seconds)
            self._experience.note(waiting.class_key, seconds)
            # What was overdue has been counted against the target by its age.
            if not was_overdue:
                self._outliers.note_run(target, seconds, expected, now)
        else:
            self._learn_trouble(target, outcome, now)
        self._set_resting()

    def note_leaving(self, target: str) -> None:
        """Note that a target says itself that it is leaving.

        LEAVING_FROM_EITHER_SOURCE: the VM list lags, and the target's own word
        comes with any answer.
        """
        self._capacity.note_leaving(target)

    def is_leaving(self, target: str, now: float) -> bool:
        """Whether a target is known to be leaving, by now."""
        self._advance(now)
        return self._capacity.is_leaving(target)

    def note_first_attempt(self) -> None:
        """Note a request's first attempt, which earns a part of a retry."""
        self._budget.earn()

    def may_retry(self, waiting: Waiting, now: float) -> bool:
        """Take one extra attempt out of the budget, if it is worth making.

        Made for a third of the targets failing at once. The harm is a load that
        grows just when there is too little capacity for it; the limit is the
        share that the settings allow.
        """
        run = self._experience.estimate(waiting.class_key, 0.0)
        if now + run >= waiting.deadline:
            return False
        return self._budget.spend()

    def hedge_after(self, waiting: Waiting, now: float) -> float | None:
        """Return after how many seconds a second attempt is worth sending.

        None for work that must not run twice, for which nobody waits, or of
        which too little is known. The sender asks `may_retry` before it hedges.
        """
        if waiting.urgency is not Urgency.URGENT or not waiting.idempotent:
            return None
        times = self._experience.find(waiting.class_key)
        if times is None or times.count < ENOUGH_SAMPLES:
            return None
        if not self._budget.can_spend():
            return None
        after = max(LEAST_HEDGE_SECONDS, times.estimate_quantile(HEDGE_QUANTILE))
        return after if now + after < waiting.deadline else None

    def limit_try(self, waiting: Waiting, now: float) -> float:
        """Return how many seconds one sending may take.

        Made for connections that are silent for good, and for targets that hang:
        were a try to last until the deadline, no time would be left for another.
        Only work that may be sent again is cut short, and only while the retry
        budget could pay for it; when run times turn out far longer than they are
        known, the budget is soon used up and the work runs to its end.
        """
        left = waiting.deadline - now
        if not waiting.idempotent or not self._budget.can_spend():
            return left
        usual = waiting.expected_seconds
        times = self._experience.find(waiting.class_key)
        if times is not None and times.count >= ENOUGH_SAMPLES:
            usual = times.estimate_quantile(HEDGE_QUANTILE)
        return min(left, max(LEAST_TRY_SECONDS, TRY_FACTOR * usual))

    def can_serve_any(self, now: float) -> bool:
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
        """Return what makes a target worse: load first, then recent run times.

        A failure counts as much as a request in flight. Else a target that fails
        at once, and so is always empty, would be the first choice each time.
        """
        health = self._outliers.find(target)
        load = self._capacity.count_at(target)
        if health is None:
            return (load, 0)
        return (load + health.failures_in_a_row, int(health.slowness / LOG_STEP))

    def _expect_run(self, waiting: Waiting) -> float:
        return self._experience.estimate(waiting.class_key, waiting.expected_seconds)

    def _choose_to_try(
        self, waiting: Waiting, now: float, exclude: frozenset[str]
    ) -> str | None:
        """Return a target that has rested, for a request that may run twice."""
        if not waiting.idempotent:
            return None
        urgent = waiting.urgency is Urgency.URGENT
        for target in self._outliers.list_to_try(now, urgent):
            if target not in exclude and self._capacity.has_room(target):
                return target
        return None

    def _learn_trouble(self, target: str, outcome: Outcome, now: float) -> None:
        if outcome in (Outcome.FAILED, Outcome.UNREACHABLE, Outcome.UNKNOWN):
            self._outliers.note_failure(target, now)
            self._pause_failing(target)
            return
        self._outliers.drop_try(target)
        if outcome is Outcome.REFUSED:
            self._capacity.pause(target, REFUSED_SECONDS)
        if outcome is Outcome.LEAVING:
            self._capacity.note_leaving(target)

    def _pause_failing(self, target: str) -> None:
        if self._outliers.must_pause(target):
            self._capacity.pause(target, FAILING_PAUSE_SECONDS)
            self._paused_failing.add(target)
        elif self._outliers.most_fail():
            # They are no exception any more: whatever is free is tried again.
            for paused in sorted(self._paused_failing):
                self._capacity.resume(paused)
            self._paused_failing.clear()

    def _learn_from_overdue(self, now: float) -> None:
        found = self._overdue.collect(now)
        for running in found:
            age = now - running.started_at
            self._outliers.note_overdue(running.target, age, running.expected, now)
        if found:
            self._set_resting()

    def _set_resting(self) -> None:
        for target in self._outliers.collect_changed():
            self._capacity.set_resting(target, self._outliers.is_resting(target))

    def _advance(self, now: float) -> None:
        self._capacity.advance(now)
        self._learn_from_overdue(now)
        self._headroom.advance(now)


def make_router(process_name: str, policy: Policy) -> Router:
    """Return a router without targets; the name sets its random choices."""
    return Router(process_name, policy)
