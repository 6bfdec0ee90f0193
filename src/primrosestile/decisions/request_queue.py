"""The queue of short requests at one entry.

It follows three rules. An admitted request can be served by its deadline according
to the estimates. Urgent work goes first, but patient work keeps a share, so that
lasting urgent load delays it by a known bound and never starves it. A request that
can no longer meet its deadline is returned at once, so that its caller can act while
there is still time.
"""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import replace

import xxhash

from primrosestile.decisions.admission import (
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    QueuedRequest,
    Refusal,
    WaitEstimate,
    decide_admission,
)
from primrosestile.decisions.fairness import Entry, FairQueue
from primrosestile.decisions.service_times import (
    DrainRate,
    ServiceTimeEstimates,
    WaitCorrection,
)
from primrosestile.errors import ErrorKind
from primrosestile.state.tenancy import Policy, Urgency

__all__ = ["QueuedRequest", "Refusal", "RequestQueue", "make_queue"]

# Of each urgency, an organisation may hold twice as many places as are free, and one
# of its classes as many as are free. A single organisation with one urgency gets two
# thirds of the queue; a burst of another one always finds places, and no share is
# reserved and idle.
ORGANISATION_PLACES_FACTOR = 2.0
CLASS_PLACES_FACTOR = 1.0
# Slots assumed until the entry sets how many it may use.
INITIAL_SLOTS = 8
# Capacity can drop at any time, so its estimate adapts within seconds.
DRAIN_RATE_MEMORY_SECONDS = 2.0
# Interval at which a class whose estimated run time is too long is admitted all the
# same, to detect that it has become faster.
PROBE_INTERVAL_SECONDS = 1.0
# Entries for requests no longer queued that the heap of latest starts may hold.
MAX_STALE_STARTS = 256
# Interval between checks of the queues' tails: four a second answer a caller far
# sooner than it would abandon the request.
TAIL_CHECK_SECONDS = 0.25
# A tail is dropped when its wait exceeds the time left by this factor, so that noise
# of the estimate does not drop requests that would have been served.
LATE_TAIL_FACTOR = 1.25


class RequestQueue:
    """Queued short requests. Request ids are unique within one queue."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._queues = {urgency: FairQueue() for urgency in Urgency}
        self._entries: dict[str, Entry] = {}
        self._latest_starts: list[tuple[float, str]] = []
        self._late: list[QueuedRequest] = []
        self._service_times = ServiceTimeEstimates()
        self._drain = DrainRate(INITIAL_SLOTS, DRAIN_RATE_MEMORY_SECONDS)
        self._corrections = {urgency: WaitCorrection() for urgency in Urgency}
        self._patient_credit = 0.0
        self._last_advance: float | None = None
        self._next_tail_check: float | None = None
        self._booked_until = 0.0
        self._probes: dict[tuple[str, str], float] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def set_policy(self, policy: Policy) -> None:
        """Apply changed settings; queued requests stay in the queue."""
        self._policy = policy

    def set_slots(self, slots: int) -> None:
        """Set how many slots this entry may use now."""
        self._drain.slots = slots

    def offer(self, waiting: QueuedRequest, now: float) -> Refusal | None:
        """Queue a request, or return why it is refused."""
        self._advance(now)
        if waiting.request_id in self._entries:
            detail = "a request with the same id is already queued"
            return Refusal(ErrorKind.IN_PROGRESS, detail, MIN_RETRY_AFTER_SECONDS)
        run = self._expect_run(waiting, now)
        queue = self._queues[waiting.urgency]
        estimated = self._estimate_wait(waiting.urgency, queue.work_ahead(waiting, run))
        wait = estimated * self._corrections[waiting.urgency].factor
        estimate = WaitEstimate(self._count_places(waiting), wait, run)
        refusal = decide_admission(waiting, estimate, now)
        if refusal is not None:
            return self._spread_retry(refusal, waiting, run, now)
        entry = Entry(waiting, run, now, estimated)
        queue.add(entry)
        self._entries[waiting.request_id] = entry
        self._note_latest_start(waiting, run)
        if self._next_tail_check is None:
            self._next_tail_check = now + TAIL_CHECK_SECONDS
        return None

    def take(
        self, now: float, accept: Callable[[QueuedRequest], bool] | None = None
    ) -> QueuedRequest | None:
        """Remove and return the next request to serve.

        Requests found to be too late are skipped; `remove_late` returns them, and
        `next_check` returns the current time as long as there are any.

        Args:
            now: Seconds of the loop's clock.
            accept: Whether a request can be placed now; if not, others are tried.
        """
        self._advance(now)
        for urgency in self._order_queues():
            entry = self._take_from(urgency, now, accept)
            if entry is not None and entry.waiting is not None:
                self._charge(urgency, entry.work)
                self._corrections[urgency].note(
                    entry.estimated_wait, now - entry.offered_at
                )
                return entry.waiting
        return None

    def remove_late(self, now: float) -> list[tuple[QueuedRequest, Refusal]]:
        """Remove and return requests that can no longer meet their deadlines."""
        self._advance(now)
        self._collect_expired(now)
        if self._next_tail_check is not None and now >= self._next_tail_check:
            self._drop_late_tails(now)
            self._next_tail_check = now + TAIL_CHECK_SECONDS if self._entries else None
        dropped = [(each, self._refuse_late(each, now)) for each in self._late]
        self._late = []
        return dropped

    def remove(self, request_ids: Iterable[str]) -> list[QueuedRequest]:
        """Remove cancelled requests: constant time for each."""
        removed = []
        for request_id in request_ids:
            waiting = self._discard(request_id)
            if waiting is not None:
                removed.append(waiting)
        return removed

    def next_check(self, now: float) -> float | None:
        """Return when to call `remove_late` again, on the loop's clock."""
        if self._late:
            return now
        if not self._entries:
            return None
        times = [self._latest_starts[0][0]]
        if self._next_tail_check is not None:
            times.append(self._next_tail_check)
        return max(now, min(times))

    def note_served(self, waiting: QueuedRequest, seconds: float, now: float) -> None:
        """Record one run, whether it succeeded or not."""
        self._advance(now)
        self._service_times.note(waiting.class_key, seconds)

    def _advance(self, now: float) -> None:
        if self._last_advance is not None:
            self._drain.note_time(now - self._last_advance, bool(self._entries))
        self._last_advance = now

    def _note_latest_start(self, waiting: QueuedRequest, run: float) -> None:
        starts = self._latest_starts
        heapq.heappush(starts, (waiting.deadline - run, waiting.request_id))
        # Entries of requests that left the queue stay in the heap until their latest
        # start, which is far too long for work with deadlines hours away.
        if len(starts) > 2 * len(self._entries) + MAX_STALE_STARTS:
            self._latest_starts = [each for each in starts if each[1] in self._entries]
            heapq.heapify(self._latest_starts)

    def _expect_run(self, waiting: QueuedRequest, now: float) -> float:
        """Return the run time in seconds that admission assumes.

        For declared times that are far off. As long as no run was measured, a
        declared time never refuses a request: otherwise a class declared far too
        long would never run and its estimate never improve. The same happens after a
        slow period with measured run times beyond every deadline; one probe a second
        corrects that and costs less than a slot.
        """
        time_left = max(0.0, waiting.deadline - now)
        times = self._service_times.find(waiting.class_key)
        if times is None:
            return min(waiting.expected_seconds, time_left / 2)
        if times.mean < time_left:
            return times.mean
        if now < self._probes.get(waiting.class_key, 0.0):
            return times.mean
        self._probes[waiting.class_key] = now + PROBE_INTERVAL_SECONDS
        return time_left / 2

    def _estimate_wait(self, urgency: Urgency, ahead: float) -> float:
        """Return the seconds until the work ahead in one queue has drained."""
        rate = self._drain.estimate()
        share = self._policy.patient_share
        if urgency is Urgency.URGENT:
            kept = share if self._queues[Urgency.PATIENT].count else 0.0
            return ahead / (rate * max(1 - kept, 0.01))
        # Patient work waits for all queued urgent work, or drains at its reserved
        # share. The estimate assumes that no more urgent work arrives, since a burst
        # ends and a refusal during it is final. If urgent work continues, the
        # correction factor adapts within some fifty requests.
        urgent = self._queues[Urgency.URGENT]
        return min((ahead + urgent.work) / rate, ahead / (rate * max(share, 0.01)))

    def _count_places(self, waiting: QueuedRequest) -> int:
        """Return how many more requests of this organisation and class may wait.

        For a producer that sends a whole archive at once. Without the limit its
        requests would take all memory and places, and those of others be refused.
        """
        free = self._policy.queue_limit - len(self._entries)
        of_organisation, of_class = self._queues[waiting.urgency].count_of(waiting)
        organisation_places = int(ORGANISATION_PLACES_FACTOR * free) - of_organisation
        class_places = int(CLASS_PLACES_FACTOR * free) - of_class
        return min(free, organisation_places, class_places)

    def _spread_retry(
        self, refusal: Refusal, waiting: QueuedRequest, run: float, now: float
    ) -> Refusal:
        """Return the refusal with a retry time of its own.

        For hundreds of refusals a second. With the same retry time, all callers
        would retry at once and all but a few be refused again. So each refusal books
        the drain time of its own work, and the next one states a later time.
        """
        first = now + refusal.retry_after
        self._booked_until = max(self._booked_until, first)
        self._booked_until += run / self._drain.estimate()
        self._booked_until = min(self._booked_until, now + MAX_RETRY_AFTER_SECONDS)
        noise = xxhash.xxh32_intdigest(waiting.request_id.encode()) / 2**32
        wait = self._booked_until - now
        if wait >= MAX_RETRY_AFTER_SECONDS:
            # Fully booked: spreads the retries over the second half of the time.
            wait *= 1 - noise / 2
        return replace(refusal, retry_after=max(MIN_RETRY_AFTER_SECONDS, wait))

    def _order_queues(self) -> tuple[Urgency, Urgency]:
        """Return the urgencies in the order in which their queues are served.

        Urgent work is first unless patient work has credit. With a patient share of
        a fifth it earns a quarter of a second for each second of urgent work, so
        its head waits for at most four times its own run time of urgent work.
        """
        patient = self._queues[Urgency.PATIENT]
        if patient.count and self._patient_credit > 0:
            return (Urgency.PATIENT, Urgency.URGENT)
        return (Urgency.URGENT, Urgency.PATIENT)

    def _charge(self, urgency: Urgency, work: float) -> None:
        if self._entries:
            self._drain.note_departure(work)
        share = self._policy.patient_share
        if not self._queues[Urgency.PATIENT].count:
            # Credit earned while no patient work is queued would later let a burst
            # of patient work go before urgent work.
            self._patient_credit = 0.0
        elif urgency is Urgency.URGENT:
            self._patient_credit += work * share / max(1 - share, 0.01)
        elif self._queues[Urgency.URGENT].count:
            self._patient_credit -= work

    def _take_from(
        self,
        urgency: Urgency,
        now: float,
        accept: Callable[[QueuedRequest], bool] | None,
    ) -> Entry | None:
        queue = self._queues[urgency]
        while queue.count:
            late: list[str] = []

            def accept_in_time(waiting: QueuedRequest, late: list[str] = late) -> bool:
                if self._is_late(waiting, now):
                    late.append(waiting.request_id)
                    return False
                return accept is None or accept(waiting)

            entry = queue.take(accept_in_time)
            self._late += self.remove(late)
            if entry is not None and entry.waiting is not None:
                del self._entries[entry.waiting.request_id]
                return entry
            if not late:
                return None
        return None

    def _is_late(self, waiting: QueuedRequest, now: float) -> bool:
        run = self._service_times.estimate(waiting.class_key, 0.0)
        counted = self._entries[waiting.request_id].work
        return now + min(run, counted) > waiting.deadline

    def _collect_expired(self, now: float) -> None:
        while self._latest_starts and self._latest_starts[0][0] <= now:
            _, request_id = heapq.heappop(self._latest_starts)
            entry = self._entries.get(request_id)
            if entry is None or entry.waiting is None:
                continue
            latest = entry.waiting.deadline - entry.work
            if latest > now:
                heapq.heappush(self._latest_starts, (latest, request_id))
                continue
            # Recorded too: served requests alone would bias the correction to
            # estimates that held.
            self._corrections[entry.waiting.urgency].note(
                entry.estimated_wait, now - entry.offered_at
            )
            self._late += self.remove([request_id])

    def _drop_late_tails(self, now: float) -> None:
        """Drop requests that are too far back in the queue to be served in time.

        For the loss of workers while the queue is long: requests admitted at the old
        drain rate can no longer be served. Without it a caller would wait until its
        deadline although it was known at once that no answer would come.
        """
        for urgency, queue in self._queues.items():
            for entries in list(queue.class_entries()):
                self._drop_late_tail(urgency, entries, now)

    def _drop_late_tail(
        self, urgency: Urgency, entries: list[Entry], now: float
    ) -> None:
        last = entries[-1].waiting
        total = sum(entry.work for entry in entries)
        if last is None or total <= 0:
            return
        queue = self._queues[urgency]
        wait = self._estimate_wait(urgency, queue.work_ahead(last, 0.0))
        if now + wait / LATE_TAIL_FACTOR <= last.deadline:
            return
        ahead = 0.0
        for entry in entries:
            waiting = entry.waiting
            start = now + wait * (ahead / total) / LATE_TAIL_FACTOR
            if waiting is None or start + entry.work <= waiting.deadline:
                ahead += entry.work
                continue
            self._late += self.remove([waiting.request_id])

    def _refuse_late(self, waiting: QueuedRequest, now: float) -> Refusal:
        kind = ErrorKind.OVERLOADED
        if now >= waiting.deadline:
            kind = ErrorKind.DEADLINE_PASSED
        detail = "no slot would be free in time for its deadline"
        refusal = Refusal(kind, detail, MIN_RETRY_AFTER_SECONDS)
        run = self._service_times.estimate(waiting.class_key, waiting.expected_seconds)
        return self._spread_retry(refusal, waiting, run, now)

    def _discard(self, request_id: str) -> QueuedRequest | None:
        entry = self._entries.pop(request_id, None)
        if entry is None or entry.waiting is None:
            return None
        return self._queues[entry.waiting.urgency].discard(entry)


def make_queue(policy: Policy) -> RequestQueue:
    """Return an empty queue under the policy."""
    return RequestQueue(policy)
