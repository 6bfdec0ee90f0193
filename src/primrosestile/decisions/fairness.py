"""Queue of waiting requests with fair sharing by organisation and class.

A burst of ten thousand requests of one organisation must not delay another's single
request. The organisation, and in it the class, that has been served the least work is
next (start-time fair queueing). Work is counted in slot seconds, not in requests, so
that long requests do not get an organisation more slots.
"""

import heapq
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from primrosestile.decisions.admission import QueuedRequest

# Queue heads that one search tries. Whether a request can be placed hardly depends on
# which one it is, so a longer search costs time and finds nothing.
MAX_TRIES = 32
# Removed entries, in excess of the waiting ones, at which a class is compacted.
MAX_EXCESS_REMOVED = 32
# Idle classes kept for their tags; more than the classes of one organisation.
MAX_IDLE_CLASSES = 512


@dataclass(slots=True)
class Entry:
    """A waiting request; None once taken or removed.

    Attributes:
        work: Slot seconds that it was counted as.
        offered_at: When it was queued, on the loop's clock.
        estimated_wait: The raw estimate of its wait, in seconds.
    """

    waiting: QueuedRequest | None
    work: float
    offered_at: float = 0.0
    estimated_wait: float = 0.0


class _Flow:
    """Served work of an organisation or a class, as a start tag."""

    __slots__ = ("count", "in_heap", "tag", "work")

    def __init__(self) -> None:
        self.tag = 0.0
        self.work = 0.0
        self.count = 0
        self.in_heap = False


class _ClassFlow(_Flow):
    __slots__ = ("entries",)

    def __init__(self) -> None:
        super().__init__()
        self.entries: deque[Entry] = deque()

    def drop_removed(self) -> None:
        """Drop removed entries once they outnumber the others.

        The amortised cost is a constant per removal; without it a class whose requests
        are all cancelled would grow without bound.
        """
        if len(self.entries) > 2 * self.count + MAX_EXCESS_REMOVED:
            kept = (entry for entry in self.entries if entry.waiting is not None)
            self.entries = deque(kept)

    def find_head(self) -> Entry | None:
        while self.entries and self.entries[0].waiting is None:
            self.entries.popleft()
        return self.entries[0] if self.entries else None


class _FlowHeap:
    """Flows in the order of their tags; a flow is in the heap at most once."""

    __slots__ = ("_heap", "_sequence", "virtual_time")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, _Flow]] = []
        self._sequence = 0
        self.virtual_time = 0.0

    def add_idle(self, flow: _Flow) -> None:
        """Add a flow that was idle, without credit for its idle time."""
        if not flow.in_heap:
            flow.tag = max(flow.tag, self.virtual_time)
            self.add_popped(flow)

    def add_popped(self, flow: _Flow) -> None:
        """Add a popped flow again with its current tag."""
        flow.in_heap = True
        self._sequence += 1
        heapq.heappush(self._heap, (flow.tag, self._sequence, flow))

    def pop(self) -> _Flow | None:
        if not self._heap:
            return None
        _, _, flow = heapq.heappop(self._heap)
        flow.in_heap = False
        return flow

    def charge(self, flow: _Flow, work: float) -> None:
        self.virtual_time = max(self.virtual_time, flow.tag)
        flow.tag += work


class _OrganisationFlow(_Flow):
    """The flow of one organisation, with its classes and their order."""

    __slots__ = ("class_heap", "classes")

    def __init__(self) -> None:
        super().__init__()
        self.classes: dict[tuple[str, str], _ClassFlow] = {}
        self.class_heap = _FlowHeap()

    def find_class(self, key: tuple[str, str]) -> _ClassFlow:
        """Return the flow of a class; create it if needed."""
        flow = self.classes.get(key)
        if flow is None:
            if len(self.classes) >= MAX_IDLE_CLASSES:
                self._drop_idle()
            flow = self.classes[key] = _ClassFlow()
        return flow

    def _drop_idle(self) -> None:
        # A tag ahead of the virtual time is kept: a class that lost its tag by a short
        # idle time would be served before all others.
        self.classes = {
            key: flow
            for key, flow in self.classes.items()
            if flow.in_heap or flow.tag > self.class_heap.virtual_time
        }


class FairQueue:
    """The waiting requests of one urgency."""

    def __init__(self) -> None:
        self._organisations: dict[str, _OrganisationFlow] = {}
        self._organisation_heap = _FlowHeap()
        self.count = 0
        self.work = 0.0

    def add(self, entry: Entry) -> None:
        """Append a request to its class."""
        waiting = entry.waiting
        if waiting is None:
            return
        organisation = self._organisations.get(waiting.organisation)
        if organisation is None:
            organisation = self._organisations[waiting.organisation] = (
                _OrganisationFlow()
            )
        flow = organisation.find_class(waiting.class_key)
        flow.entries.append(entry)
        self._count(organisation, flow, 1, entry.work)
        organisation.class_heap.add_idle(flow)
        self._organisation_heap.add_idle(organisation)

    def take(self, accept: Callable[[QueuedRequest], bool] | None) -> Entry | None:
        """Remove and return the next entry that `accept` takes.

        The returned entry keeps its request.
        """
        tries = MAX_TRIES
        popped_organisations: list[_Flow] = []
        taken: Entry | None = None
        while (
            taken is None
            and tries > 0
            and (organisation := self._organisation_heap.pop())
        ):
            assert isinstance(organisation, _OrganisationFlow)
            taken, tries = self._take_from(organisation, accept, tries)
            popped_organisations.append(organisation)
            if taken is not None:
                self._organisation_heap.charge(organisation, taken.work)
        for organisation in popped_organisations:
            if organisation.count:
                self._organisation_heap.add_popped(organisation)
        return taken

    def _take_from(
        self,
        organisation: _OrganisationFlow,
        accept: Callable[[QueuedRequest], bool] | None,
        tries: int,
    ) -> tuple[Entry | None, int]:
        popped: list[_ClassFlow] = []
        taken: Entry | None = None
        while taken is None and tries > 0 and (flow := organisation.class_heap.pop()):
            assert isinstance(flow, _ClassFlow)
            popped.append(flow)
            entry = flow.find_head()
            if entry is None or entry.waiting is None:
                continue
            tries -= 1
            if accept is None or accept(entry.waiting):
                taken = replace(entry)
                flow.entries.popleft()
                self._count(organisation, flow, -1, -entry.work)
                organisation.class_heap.charge(flow, entry.work)
        for flow in popped:
            if flow.count:
                organisation.class_heap.add_popped(flow)
        return taken, tries

    def discard(self, entry: Entry) -> QueuedRequest | None:
        """Remove one entry in constant time; the rest keeps its order."""
        waiting = entry.waiting
        if waiting is None:
            return None
        entry.waiting = None
        organisation = self._organisations[waiting.organisation]
        flow = organisation.classes[waiting.class_key]
        self._count(organisation, flow, -1, -entry.work)
        flow.drop_removed()
        return waiting

    def _count(
        self, organisation: _OrganisationFlow, flow: _ClassFlow, one: int, work: float
    ) -> None:
        for each in (organisation, flow):
            each.count += one
            # Sums of floats drift; an empty queue has exactly no work.
            each.work = each.work + work if each.count else 0.0
        self.count += one
        self.work = self.work + work if self.count else 0.0

    def count_of(self, waiting: QueuedRequest) -> tuple[int, int]:
        """Return how many wait of its organisation, and of its class."""
        organisation = self._organisations.get(waiting.organisation)
        if organisation is None:
            return 0, 0
        flow = organisation.classes.get(waiting.class_key)
        return organisation.count, flow.count if flow else 0

    def work_ahead(self, waiting: QueuedRequest, work: float) -> float:
        """Return the seconds of work that are served before a new request of its kind.

        With fair sharing an organisation waits for its own work, and for as much of
        each other organisation's, at most all that it has. The same holds for classes.
        """
        organisation = self._organisations.get(waiting.organisation)
        own = self._own_work(organisation, waiting.class_key, work)
        reach = own + work
        others = self.work - (organisation.work if organisation else 0.0)
        if others <= 0:
            return own
        for other in self._organisations.values():
            if other is not organisation and other.work:
                own += min(other.work, reach)
        return own

    def _own_work(
        self, organisation: _OrganisationFlow | None, key: tuple[str, str], work: float
    ) -> float:
        if organisation is None:
            return 0.0
        flow = organisation.classes.get(key)
        own = flow.work if flow else 0.0
        reach = own + work
        for other in organisation.classes.values():
            if other is not flow and other.work:
                own += min(other.work, reach)
        return own

    def class_entries(self) -> Iterator[list[Entry]]:
        """Yield the waiting entries of each class, oldest first."""
        for organisation in self._organisations.values():
            for flow in organisation.classes.values():
                if flow.count:
                    yield [each for each in flow.entries if each.waiting is not None]
