"""The queue of short requests at one entry.

Three rules shape it. What is let in can be served by its deadline, as far as is
known. Urgent work goes first, yet patient work keeps a share, so that a lasting
flood of urgent work delays it by a known bound and never stops it. And a
request that has become hopeless is handed back at once, so its caller can act
while there is still time.
"""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import replace

import xxhash

from primrosestile.decisions.admission import (
    LONGEST_RETRY,
    SHORTEST_RETRY,
    Prospect,
    Refusal,
    Waiting,
    decide_admission,
)
from primrosestile.decisions.fairness import Entry, FairLine
from primrosestile.decisions.servicetimes import Correction, DrainRate, Experience
from primrosestile.errors import ErrorKind
from primrosestile.state.tenancy import Policy, Urgency

__all__ = ["Refusal", "RequestQueue", "Waiting", "make_queue"]

# An organisation may hold twice, and one class of it as many, places as are
# left. Alone, an organisation gets two thirds of the queue; a burst of another
# always finds room, and no share lies idle by decree.
ORGANISATION_FACTOR = 2.0
CLASS_FACTOR = 1.0
# Slots assumed until the entry has told how many it may use.
FIRST_SLOTS = 8
# The capacity can fall at any moment, so its estimate follows within seconds.
CAPACITY_MEMORY = 2.0
# Runs that experience calls too long are let in this seldom, so that a slow
# spell that has ended is noticed.
PROBE_SECONDS = 1.0
# Requests no longer waiting that may stand among the latest starts.
SPARE_STARTS = 256
# The tail of a queue is looked at again after this long: four looks a second
# give an answer far sooner than a caller would give up.
LOOK_SECONDS = 0.25
# A tail is given up when its wait exceeds the time left by this factor, so that
# the noise of the estimate does not throw out what would have been served.
HOPELESS_FACTOR = 1.25


class RequestQueue:
    """Waiting short requests. Request ids are unique within one queue."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._lines = {urgency: FairLine() for urgency in Urgency}
        self._entries: dict[str, Entry] = {}
        self._latest_starts: list[tuple[float, str]] = []
        self._hopeless: list[Waiting] = []
        self._experience = Experience()
        self._drain = DrainRate(FIRST_SLOTS, CAPACITY_MEMORY)
        self._corrections = {urgency: Correction() for urgency in Urgency}
        self._patient_credit = 0.0
        self._last_seen: float | None = None
        self._next_look: float | None = None
        self._booked_until = 0.0
        self._probes: dict[tuple[str, str], float] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def set_policy(self, policy: Policy) -> None:
        """Follow a change of settings; what waits stays in the queue."""
        self._policy = policy

    def set_slots(self, slots: int) -> None:
        """Tell how many slots this entry may use now."""
        self._drain.slots = slots

    def offer(self, waiting: Waiting, now: float) -> Refusal | None:
        """Queue a request, or return why it is refused."""
        self._advance(now)
        if waiting.request_id in self._entries:
            detail = "a request of the same id waits already"
            return Refusal(ErrorKind.IN_PROGRESS, detail, SHORTEST_RETRY)
        run = self._expect_run(waiting, now)
        line = self._lines[waiting.urgency]
        foreseen = self._foresee_wait(waiting.urgency, line.work_ahead(waiting, run))
        wait = foreseen * self._corrections[waiting.urgency].factor
        prospect = Prospect(self._count_places(waiting), wait, run)
        refusal = decide_admission(waiting, prospect, now)
        if refusal is not None:
            return self._spread_return(refusal, waiting, run, now)
        entry = Entry(waiting, run, now, foreseen)
        line.add(entry)
        self._entries[waiting.request_id] = entry
        self._note_latest_start(waiting, run)
        if self._next_look is None:
            self._next_look = now + LOOK_SECONDS
        return None

    def take(
        self, now: float, accept: Callable[[Waiting], bool] | None = None
    ) -> Waiting | None:
        """Remove and return the next request to serve.

        One that is found to be too late is not returned; `give_up` hands it back,
        and `next_check` says at once that it is worth calling.

        Args:
            now: Seconds of the loop's clock.
            accept: Whether a request can be placed now; others are tried else.
        """
        self._advance(now)
        for urgency in self._order_lines():
            entry = self._take_from(urgency, now, accept)
            if entry is not None and entry.waiting is not None:
                self._charge(urgency, entry.work)
                self._corrections[urgency].note(
                    entry.foreseen_wait, now - entry.offered_at
                )
                return entry.waiting
        return None

    def give_up(self, now: float) -> list[tuple[Waiting, Refusal]]:
        """Remove and return what can no longer be served by its deadline."""
        self._advance(now)
        self._collect_expired(now)
        if self._next_look is not None and now >= self._next_look:
            self._look_at_tails(now)
            self._next_look = now + LOOK_SECONDS if self._entries else None
        given_up = [(each, self._refuse_late(each, now)) for each in self._hopeless]
        self._hopeless = []
        return given_up

    def remove(self, request_ids: Iterable[str]) -> list[Waiting]:
        """Remove cancelled requests: constant time for each."""
        removed = []
        for request_id in request_ids:
            waiting = self._discard(request_id)
            if waiting is not None:
                removed.append(waiting)
        return removed

    def next_check(self, now: float) -> float | None:
        """Return when `give_up` is worth calling again, on the loop's clock."""
        if self._hopeless:
            return now
        if not self._entries:
            return None
        times = [self._latest_starts[0][0]]
        if self._next_look is not None:
            times.append(self._next_look)
        return max(now, min(times))

    def note_served(self, waiting: Waiting, seconds: float, now: float) -> None:
        """Learn from one run, whether it succeeded or not."""
        self._advance(now)
        self._experience.note(waiting.class_key, seconds)

    def _advance(self, now: float) -> None:
        if self._last_seen is not None:
            self._drain.note_time(now - self._last_seen, bool(self._entries))
        self._last_seen = now

    def _note_latest_start(self, waiting: Waiting, run: float) -> None:
        starts = self._latest_starts
        heapq.heappush(starts, (waiting.deadline - run, waiting.request_id))
        # What was taken stays listed until its time comes, which for work that
        # may wait all night would be far too long.
        if len(starts) > 2 * len(self._entries) + SPARE_STARTS:
            self._latest_starts = [each for each in starts if each[1] in self._entries]
            heapq.heapify(self._latest_starts)

    def _expect_run(self, waiting: Waiting, now: float) -> float:
        """Return the run time in seconds to count with.

        Made for declared times that are far off. Without any run to learn from,
        a declared time never refuses: else a class declared far too long would
        never run, and so never be known better. The same harm comes from a slow
        spell that taught a run time beyond every deadline; one probe a second
        ends it, and costs less than a slot.
        """
        time_left = max(0.0, waiting.deadline - now)
        times = self._experience.find(waiting.class_key)
        if times is None:
            return min(waiting.expected_seconds, time_left / 2)
        if times.mean < time_left:
            return times.mean
        if now < self._probes.get(waiting.class_key, 0.0):
            return times.mean
        self._probes[waiting.class_key] = now + PROBE_SECONDS
        return time_left / 2

    def _foresee_wait(self, urgency: Urgency, ahead: float) -> float:
        """Return the seconds until so much work of one line has left."""
        rate = self._drain.estimate()
        share = self._policy.patient_share
        if urgency is Urgency.URGENT:
            kept = share if self._lines[Urgency.PATIENT].count else 0.0
            return ahead / (rate * max(1 - kept, 0.01))
        # Patient work waits for all urgent work, or gets by on the kept share. The
        # estimate hopes that no more urgent work comes: a burst ends, and what
        # was refused in it can not be made good. If urgent work goes on, the
        # correction learns it within some fifty requests.
        urgent = self._lines[Urgency.URGENT]
        return min((ahead + urgent.work) / rate, ahead / (rate * max(share, 0.01)))

    def _count_places(self, waiting: Waiting) -> int:
        """Return how many more requests of this kind may wait.

        Made for a producer who sends a whole archive at once. The harm is that
        its requests hold all memory and places, and the others' are refused.
        """
        free = self._policy.queue_limit - len(self._entries)
        of_party, of_class = self._lines[waiting.urgency].count_of(waiting)
        party_room = int(ORGANISATION_FACTOR * free) - of_party
        class_room = int(CLASS_FACTOR * free) - of_class
        return min(free, party_room, class_room)

    def _spread_return(
        self, refusal: Refusal, waiting: Waiting, run: float, now: float
    ) -> Refusal:
        """Return the refusal with a time at which coming back makes sense.

        Made for hundreds of refusals a second. Told the same time, they would
        all come back at once and all but a few be refused again. So each one
        books the work that it stands for, and the next is sent behind it.
        """
        first = now + refusal.retry_after
        self._booked_until = max(self._booked_until, first)
        self._booked_until += run / self._drain.estimate()
        self._booked_until = min(self._booked_until, now + LONGEST_RETRY)
        noise = xxhash.xxh32_intdigest(waiting.request_id.encode()) / 2**32
        wait = self._booked_until - now
        if wait >= LONGEST_RETRY:
            # Fully booked: then the returns are spread over half of the time.
            wait *= 1 - noise / 2
        return replace(refusal, retry_after=max(SHORTEST_RETRY, wait))

    def _order_lines(self) -> tuple[Urgency, Urgency]:
        """Return which line goes first.

        Urgent work does, until patient work has earned a turn. With a share of
        a fifth it earns a quarter of a second for each second of urgent work, so
        its head waits for at most four times its own run time of urgent work.
        """
        patient = self._lines[Urgency.PATIENT]
        if patient.count and self._patient_credit > 0:
            return (Urgency.PATIENT, Urgency.URGENT)
        return (Urgency.URGENT, Urgency.PATIENT)

    def _charge(self, urgency: Urgency, work: float) -> None:
        if self._entries:
            self._drain.note_left(work)
        share = self._policy.patient_share
        if not self._lines[Urgency.PATIENT].count:
            # Credit for work that nobody asked for would become a burst of
            # patient work before urgent work later.
            self._patient_credit = 0.0
        elif urgency is Urgency.URGENT:
            self._patient_credit += work * share / max(1 - share, 0.01)
        elif self._lines[Urgency.URGENT].count:
            self._patient_credit -= work

    def _take_from(
        self,
        urgency: Urgency,
        now: float,
        accept: Callable[[Waiting], bool] | None,
    ) -> Entry | None:
        line = self._lines[urgency]
        while line.count:
            late: list[str] = []

            def accept_in_time(waiting: Waiting, late: list[str] = late) -> bool:
                if self._is_late(waiting, now):
                    late.append(waiting.request_id)
                    return False
                return accept is None or accept(waiting)

            entry = line.take(accept_in_time)
            self._hopeless += self.remove(late)
            if entry is not None and entry.waiting is not None:
                del self._entries[entry.waiting.request_id]
                return entry
            if not late:
                return None
        return None

    def _is_late(self, waiting: Waiting, now: float) -> bool:
        run = self._experience.estimate(waiting.class_key, 0.0)
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
            # Learned from as well: those that were served tell only of the
            # estimates that held.
            self._corrections[entry.waiting.urgency].note(
                entry.foreseen_wait, now - entry.offered_at
            )
            self._hopeless += self.remove([request_id])

    def _look_at_tails(self, now: float) -> None:
        """Give up what stands too far back to be served in time.

        Made for the loss of workers while the queue is long: what was promised
        at the old rate can not be kept. The harm is a caller who waits for the
        whole deadline although it was clear at once that nothing would come.
        """
        for urgency, line in self._lines.items():
            for entries in list(line.class_entries()):
                self._give_up_tail(urgency, entries, now)

    def _give_up_tail(self, urgency: Urgency, entries: list[Entry], now: float) -> None:
        last = entries[-1].waiting
        total = sum(entry.work for entry in entries)
        if last is None or total <= 0:
            return
        line = self._lines[urgency]
        wait = self._foresee_wait(urgency, line.work_ahead(last, 0.0))
        if now + wait / HOPELESS_FACTOR <= last.deadline:
            return
        ahead = 0.0
        for entry in entries:
            waiting = entry.waiting
            start = now + wait * (ahead / total) / HOPELESS_FACTOR
            if waiting is None or start + entry.work <= waiting.deadline:
                ahead += entry.work
                continue
            self._hopeless += self.remove([waiting.request_id])

    def _refuse_late(self, waiting: Waiting, now: float) -> Refusal:
        kind = ErrorKind.OVERLOADED
        if now >= waiting.deadline:
            kind = ErrorKind.DEADLINE_PASSED
        detail = "no slot would be free in time for its deadline"
        refusal = Refusal(kind, detail, SHORTEST_RETRY)
        run = self._experience.estimate(waiting.class_key, waiting.expected_seconds)
        return self._spread_return(refusal, waiting, run, now)

    def _discard(self, request_id: str) -> Waiting | None:
        entry = self._entries.pop(request_id, None)
        if entry is None or entry.waiting is None:
            return None
        return self._lines[entry.waiting.urgency].discard(entry)


def make_queue(policy: Policy) -> RequestQueue:
    """Return an empty queue that follows the policy."""
    return RequestQueue(policy)
