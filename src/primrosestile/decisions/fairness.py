"""One line of waiting requests, shared fairly by organisations and their classes.

An organisation that sends ten thousand requests at once must not make another's
single request wait behind them. Each organisation, and in it each class, is
served by the work it has had: the one with the least goes next (start-time fair
queueing). Work counts in seconds of slot, not in requests, so an organisation
with long requests gets no more slots than one with short ones.
"""

import heapq
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from primrosestile.decisions.admission import Waiting

# Heads that are tried before a search ends. Whether a request can be placed
# hardly depends on which one it is, so a long search finds nothing but costs.
MOST_TRIES = 32
# Removed entries that a class may hold before they are cleared away.
SPARE_ENTRIES = 32
# Idle classes kept for their tags; more than the classes of one organisation.
IDLE_CLASSES = 512


@dataclass(slots=True)
class Entry:
    """A waiting request; None once taken or removed.

    Attributes:
        work: The seconds of slot that it was counted as.
        offered_at: When it was queued, on the loop's clock.
        foreseen_wait: The raw estimate of its wait, in seconds.
    """

    waiting: Waiting | None
    work: float
    offered_at: float = 0.0
    foreseen_wait: float = 0.0


class _Flow:
    """What a party has been served, as a start tag; common to both levels."""

    __slots__ = ("count", "listed", "tag", "work")

    def __init__(self) -> None:
        self.tag = 0.0
        self.work = 0.0
        self.count = 0
        self.listed = False


class _ClassFlow(_Flow):
    __slots__ = ("entries",)

    def __init__(self) -> None:
        super().__init__()
        self.entries: deque[Entry] = deque()

    def drop_removed(self) -> None:
        """Forget removed entries once they outnumber the others.

        Amortised over the removals this costs a constant each; without it a
        class of which every request is cancelled would grow without bound.
        """
        if len(self.entries) > 2 * self.count + SPARE_ENTRIES:
            kept = (entry for entry in self.entries if entry.waiting is not None)
            self.entries = deque(kept)

    def find_head(self) -> Entry | None:
        while self.entries and self.entries[0].waiting is None:
            self.entries.popleft()
        return self.entries[0] if self.entries else None


class _Turns:
    """Flows in the order of their tags; a flow is listed at most once."""

    __slots__ = ("_heap", "_sequence", "virtual")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, _Flow]] = []
        self._sequence = 0
        self.virtual = 0.0

    def list_new(self, flow: _Flow) -> None:
        """List a flow that was idle, without credit for the time of silence."""
        if not flow.listed:
            flow.tag = max(flow.tag, self.virtual)
            self.list_again(flow)

    def list_again(self, flow: _Flow) -> None:
        """List a flow that was popped a moment ago, in its old turn."""
        flow.listed = True
        self._sequence += 1
        heapq.heappush(self._heap, (flow.tag, self._sequence, flow))

    def pop(self) -> _Flow | None:
        if not self._heap:
            return None
        _, _, flow = heapq.heappop(self._heap)
        flow.listed = False
        return flow

    def charge(self, flow: _Flow, work: float) -> None:
        self.virtual = max(self.virtual, flow.tag)
        flow.tag += work


class _Party(_Flow):
    """One organisation: its classes, and their turns."""

    __slots__ = ("classes", "turns")

    def __init__(self) -> None:
        super().__init__()
        self.classes: dict[tuple[str, str], _ClassFlow] = {}
        self.turns = _Turns()

    def find_class(self, key: tuple[str, str]) -> _ClassFlow:
        """Return the flow of a class, made at its first request."""
        flow = self.classes.get(key)
        if flow is None:
            if len(self.classes) >= IDLE_CLASSES:
                self._drop_idle()
            flow = self.classes[key] = _ClassFlow()
        return flow

    def _drop_idle(self) -> None:
        # A tag ahead of the turns is kept: a class that could shed its tag by
        # being idle for a moment would be served before all others.
        self.classes = {
            key: flow
            for key, flow in self.classes.items()
            if flow.listed or flow.tag > self.turns.virtual
        }


class FairLine:
    """The waiting requests of one urgency."""

    def __init__(self) -> None:
        self._parties: dict[str, _Party] = {}
        self._turns = _Turns()
        self.count = 0
        self.work = 0.0

    def add(self, entry: Entry) -> None:
        """Put a request behind those of its class."""
        waiting = entry.waiting
        if waiting is None:
            return
        party = self._parties.get(waiting.organisation)
        if party is None:
            party = self._parties[waiting.organisation] = _Party()
        flow = party.find_class(waiting.class_key)
        flow.entries.append(entry)
        self._count(party, flow, 1, entry.work)
        party.turns.list_new(flow)
        self._turns.list_new(party)

    def take(self, accept: Callable[[Waiting], bool] | None) -> Entry | None:
        """Remove and return the next entry that `accept` takes.

        The returned entry keeps its request.
        """
        tries = MOST_TRIES
        passed_parties: list[_Flow] = []
        taken: Entry | None = None
        while taken is None and tries > 0 and (party := self._turns.pop()):
            assert isinstance(party, _Party)
            taken, tries = self._take_from(party, accept, tries)
            passed_parties.append(party)
            if taken is not None:
                self._turns.charge(party, taken.work)
        for party in passed_parties:
            if party.count:
                self._turns.list_again(party)
        return taken

    def _take_from(
        self, party: _Party, accept: Callable[[Waiting], bool] | None, tries: int
    ) -> tuple[Entry | None, int]:
        passed: list[_ClassFlow] = []
        taken: Entry | None = None
        while taken is None and tries > 0 and (flow := party.turns.pop()):
            assert isinstance(flow, _ClassFlow)
            passed.append(flow)
            entry = flow.find_head()
            if entry is None or entry.waiting is None:
                continue
            tries -= 1
            if accept is None or accept(entry.waiting):
                taken = replace(entry)
                flow.entries.popleft()
                self._count(party, flow, -1, -entry.work)
                party.turns.charge(flow, entry.work)
        for flow in passed:
            if flow.count:
                party.turns.list_again(flow)
        return taken, tries

    def discard(self, entry: Entry) -> Waiting | None:
        """Remove one entry in constant time; the rest keeps its order."""
        waiting = entry.waiting
        if waiting is None:
            return None
        entry.waiting = None
        party = self._parties[waiting.organisation]
        flow = party.classes[waiting.class_key]
        self._count(party, flow, -1, -entry.work)
        flow.drop_removed()
        return waiting

    def _count(self, party: _Party, flow: _ClassFlow, one: int, work: float) -> None:
        for each in (party, flow):
            each.count += one
            # Sums of floats drift; an empty queue holds exactly nothing.
            each.work = each.work + work if each.count else 0.0
        self.count += one
        self.work = self.work + work if self.count else 0.0

    def count_of(self, waiting: Waiting) -> tuple[int, int]:
        """Return how many wait of its organisation, and of its class."""
        party = self._parties.get(waiting.organisation)
        if party is None:
            return 0, 0
        flow = party.classes.get(waiting.class_key)
        return party.count, flow.count if flow else 0

    def work_ahead(self, waiting: Waiting, work: float) -> float:
        """Return the seconds of work that leave before a new request of its kind.

        Under fair turns a party waits for its own work, and for as much of each
        other party's, at most as much as that one has. So do its classes.
        """
        party = self._parties.get(waiting.organisation)
        own = self._own_work(party, waiting.class_key, work)
        reach = own + work
        others = self.work - (party.work if party else 0.0)
        if others <= 0:
            return own
        for other in self._parties.values():
            if other is not party and other.work:
                own += min(other.work, reach)
        return own

    def _own_work(
        self, party: _Party | None, key: tuple[str, str], work: float
    ) -> float:
        if party is None:
            return 0.0
        flow = party.classes.get(key)
        own = flow.work if flow else 0.0
        reach = own + work
        for other in party.classes.values():
            if other is not flow and other.work:
                own += min(other.work, reach)
        return own

    def class_entries(self) -> Iterator[list[Entry]]:
        """Yield the waiting entries of each class, oldest first."""
        for party in self._parties.values():
            for flow in party.classes.values():
                if flow.count:
                    yield [each for each in flow.entries if each.waiting is not None]
