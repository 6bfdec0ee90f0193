"""Measures the health of the owner, and resigns if it can't do its work.

The measures are judged by `decisions.work.owner_health`.
"""

import asyncio
from collections import deque
from collections.abc import Mapping

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.keys import OWNER_KEY, RESIGNATIONS_KEY
from primrosestile.coordination.work.list_freshness import ListFreshness
from primrosestile.coordination.work.metered_calls import MeteredCalls
from primrosestile.coordination.work.policy_watch import PolicyWatch
from primrosestile.coordination.work.recorder import Recorder
from primrosestile.coordination.work.request_watch import RequestWatch
from primrosestile.coordination.work.term import Term
from primrosestile.coordination.work.worker_links import WorkerLink
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.owner_health import (
    MAX_TERM_STEPS,
    MAX_WORKER_SILENCE_SECONDS,
    OwnerHealth,
    OwnerMetrics,
    OwnerProblem,
)
from primrosestile.errors import Failure
from primrosestile.protocol.transactions import Condition, TransactionalStore
from primrosestile.state.decoding import Undecodable
from primrosestile.state.work import decode_resignations

# Interval of the measurements: short compared with the ages that are judged.
CHECK_SECONDS = 0.25
# The loop's delay is the mean of this many samples, that is over 4 s, after which a
# single suspension of the VM no longer counts.
DELAY_SAMPLES = 16
# How long the first owner may load its state, so that a VM with a faster link gets its
# turn: 4 MB of open jobs take 32 s over 1 Mbit/s. Each one after it has twice as long,
# since a state that has grown may take longer on every VM.
MAX_LOAD_SECONDS = 45.0
MAX_LOAD_DOUBLINGS = 4
# Past this age of the newest answered renewal, the store counts as unreachable. By then
# two renewals in a row have timed out after 1.5 s each; one that takes 1 s on a full
# link still counts as answered.
UNRENEWED_SECONDS = 3.0

_log = structlog.get_logger()


class HealthMonitor:
    """Measures one term's work.

    Attributes:
        work: The latest measurement; None before the first.
        loaded: Whether the owner has loaded its state; it writes nothing before.
    """

    def __init__(
        self,
        store: TransactionalStore,
        term: Term,
        fleet_state: FleetState,
        policies: PolicyWatch,
        requests: RequestWatch,
        recorder: Recorder,
        links: Mapping[str, WorkerLink],
        calls: MeteredCalls,
        worker_list: ListFreshness,
    ) -> None:
        self._store = store
        self._term = term
        self._fleet_state = fleet_state
        self._policies = policies
        self._requests = requests
        self._recorder = recorder
        self._links = links
        self._calls = calls
        self._worker_list = worker_list
        self._owner_health = OwnerHealth()
        self._began = read_clock()
        self._store_failed_at = self._began
        self._delays: deque[float] = deque(maxlen=DELAY_SAMPLES)
        self._saving: asyncio.Task[None] | None = None
        self._saving_since = 0.0
        self.work: OwnerMetrics | None = None
        self.loaded = False

    async def run(self) -> None:
        """Measure and judge until cancelled or the term is lost."""
        try:
            while not self._term.lost.is_set():
                asked_at = read_clock()
                await asyncio.sleep(CHECK_SECONDS)
                now = read_clock()
                self._delays.append(now - asked_at - CHECK_SECONDS)
                self.work = work = self._measure(now)
                problem = self._owner_health.judge(work, now)
                if problem is not None:
                    self._resign(problem, work)
        finally:
            if self._saving is not None:
                self._saving.cancel()

    async def follow_resignations(self) -> None:
        """Read how many owners resigned before; clear it once this one is healthy."""
        while True:
            try:
                if self._owner_health.resignations is None:
                    await self._read_record()
                elif (
                    self._owner_health.resignations
                    and self._owner_health.has_recovered(read_clock())
                ):
                    await self._clear_record()
            except Failure as failure:
                _log.info("given_up_record_not_reached", reason=str(failure))
            await asyncio.sleep(CHECK_SECONDS)

    def _measure(self, now: float) -> OwnerMetrics:
        renewed_ago = self._term.find_renewal_age()
        if renewed_ago > UNRENEWED_SECONDS:
            self._store_failed_at = now
        listed = [each for each in self._fleet_state.workers.values() if each.listed]
        calls, unanswered = self._calls.count()
        return OwnerMetrics(
            requests_age=self._find_requests_age(now),
            records_age=self._find_records_age(now),
            workers=len(listed),
            heard=sum(self._is_heard(each.name, now) for each in listed),
            loop_delay=sum(self._delays) / len(self._delays),
            calls=calls,
            unanswered=unanswered,
            store_answers=now - self._store_failed_at,
            served=now - self._began,
            loaded=self.loaded,
            policy_silence=min(self._policies.silence, now - self._began),
            list_silence=self._worker_list.silence,
        )

    def _find_requests_age(self, now: float) -> float:
        """Return the age of the known caller requests, in seconds.

        An owner that still loads its state knows none, but as long as parts arrive, a
        change of owner would only begin the loading again: alone on a link of 1 Mbit/s,
        a process resigned five times and gave no order within 90 s. Workers' leases are
        extended meanwhile.
        """
        age = min(self._requests.requests_age, now - self._began)
        if self.loaded or now - self._began > self._load_limit:
            return age
        return min(age, self._requests.read_stall)

    @property
    def _load_limit(self) -> float:
        resignations = self._owner_health.resignations or 0
        return MAX_LOAD_SECONDS * 2 ** min(resignations, MAX_LOAD_DOUBLINGS)

    def _is_heard(self, name: str, now: float) -> bool:
        link = self._links.get(name)
        # A worker that was found just now has not been polled yet.
        return link is None or now - link.heard_at < MAX_WORKER_SILENCE_SECONDS

    def _find_records_age(self, now: float) -> float:
        """Return how long the save under way has taken; there is always one.

        A save with nothing to write ends at once, without a call.
        """
        if not self.loaded:
            return 0.0
        if self._saving is None or self._saving.done():
            jobs = list(self._fleet_state.jobs.values())
            self._saving = asyncio.create_task(self._recorder.save(jobs))
            self._saving_since = now
        return now - self._saving_since

    def _resign(self, problem: OwnerProblem, work: OwnerMetrics) -> None:
        _log.warning(
            "ownership_given_up",
            fence=self._term.fence,
            trouble=problem.value,
            given_up_before=self._owner_health.resignations,
            wishes_age=round(work.requests_age, 2),
            records_age=round(work.records_age, 2),
            workers=work.workers,
            heard=work.heard,
            policy_silence=round(work.policy_silence, 2),
            list_silence=round(work.list_silence, 2),
            loop_delay=round(work.loop_delay, 3),
            calls=work.calls,
            unanswered=round(work.unanswered, 2),
            store_answers=round(work.store_answers, 2),
            served=round(work.served, 2),
        )
        self._term.resign()

    async def _read_record(self) -> None:
        entry = await self._store.get(RESIGNATIONS_KEY)
        if entry is None:
            self._set_resignations(0)
            return
        try:
            self._set_resignations(decode_resignations(entry.value))
        except Undecodable as error:
            # One bad value must not end each term at its start. It counts as the
            # highest step, and is removed like a good one once the owner is healthy.
            _log.warning("given_up_record_unreadable", error=str(error))
            self._set_resignations(MAX_TERM_STEPS)

    async def _clear_record(self) -> None:
        condition = Condition(OWNER_KEY, self._term.fence)
        done = await self._store.commit([condition], removals=[RESIGNATIONS_KEY])
        if done.done:
            self._set_resignations(0)

    def _set_resignations(self, resignations: int) -> None:
        self._owner_health.resignations = resignations
        self._term.earlier_resignations = resignations

    def count(self) -> dict[str, float]:
        """Return the current values of the metrics."""
        work = self.work
        if work is None:
            return {}
        return {
            "wishes_age_seconds": work.requests_age,
            "records_age_seconds": work.records_age,
            "workers_heard": float(work.heard),
            "loop_delay_seconds": work.loop_delay,
            "worker_calls": float(work.calls),
            "worker_calls_unanswered_share": work.unanswered,
        }
