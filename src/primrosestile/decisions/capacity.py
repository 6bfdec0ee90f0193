"""Free slots of one entry by target, updated incrementally.

A scan of the fleet for each request would cost most when the fleet is large and its
slots are full, which is when load is highest. So each start, end and update changes the
figures of the targets concerned, and targets with free slots are kept in a set.
"""

import heapq
import random
from collections.abc import Iterable, Mapping, Sequence

from primrosestile.decisions.allowances import Allowances, Grant
from primrosestile.decisions.sampled_set import SampledSet

# How long a target that reported that it is leaving counts as leaving, even if a
# lagging list does not show it.
LEAVING_SECONDS = 120.0


class Capacity:
    """Allowed and used slots of this entry, by target."""

    def __init__(self, self_name: str) -> None:
        self._allowances = Allowances(self_name)
        self._leaving: frozenset[str] = frozenset()
        self._reported_leaving: dict[str, float] = {}
        self._paused: dict[str, float] = {}
        self._ejected: set[str] = set()
        self._in_flight: dict[str, int] = {}
        self._allowed: dict[str, int] = {}
        self._free = SampledSet()
        # Times at which figures change without an event, with the targets and the
        # grant.
        self._due: list[tuple[float, int, tuple[str, ...], Grant | None]] = []
        self._sequence = 0
        self._now = 0.0
        self.total_slots = 0
        self.free_slots = 0

    def set_targets(
        self, slots: Mapping[str, int], leaving: frozenset[str], now: float
    ) -> None:
        """Set the slots of the fleet and the targets that are leaving."""
        self.advance(now)
        changed = self._allowances.set_slots(slots)
        changed |= self._leaving ^ leaving
        self._leaving = leaving
        for target in changed - slots.keys():
            self._reported_leaving.pop(target, None)
            self._paused.pop(target, None)
        self._refresh_all(sorted(changed))

    def set_entries(self, names: Sequence[str]) -> None:
        """Set the live entries."""
        self._allowances.set_entries(names)
        self._refresh_all(self._allowances.list_targets())

    def set_grants(
        self, workers: Iterable[str], grants: Mapping[str, int], until: float
    ) -> None:
        """Set the grants of one cell, and when they expire.

        Grants arrive for each cell each second, mostly unchanged. So only changes are
        computed, and an expiry only if no later grant has arrived.
        """
        grant = Grant(grants, until, until - self._now)
        targets = tuple(workers)
        changed = self._allowances.set_grant(targets, grant, self._now)
        self._refresh_all(changed)
        self._schedule_refresh(until, targets, grant)
        self._schedule_refresh(grant.all_lapsed_at, targets, grant)

    def advance(self, now: float) -> None:
        """Update to the time `now`: expire grants, pauses and reports of leaving."""
        self._now = max(self._now, now)
        while self._due and self._due[0][0] <= self._now:
            _, _, targets, grant = heapq.heappop(self._due)
            if grant is not None:
                targets = self._allowances.list_covered_by(grant, targets)
            self._refresh_all(targets)

    def start(self, target: str) -> None:
        """Record the start of a request at a target."""
        self._change_in_flight(target, 1)

    def finish(self, target: str) -> None:
        """Record the end of a request at a target."""
        self._change_in_flight(target, -1)

    def pause(self, target: str, seconds: float) -> None:
        """Stop sending to a target for some seconds."""
        self._paused[target] = self._now + seconds
        self._schedule_refresh(self._paused[target], (target,))
        self._refresh(target)

    def resume(self, target: str) -> None:
        """End the pause of a target early."""
        self._paused.pop(target, None)
        self._refresh(target)

    def is_leaving(self, target: str) -> bool:
        """Whether the list, the cell's owner or the target itself reports leaving."""
        return target in self._leaving or target in self._reported_leaving

    def note_leaving(self, target: str) -> None:
        """Record that a target reports that it is leaving."""
        self._reported_leaving[target] = self._now + LEAVING_SECONDS
        self._schedule_refresh(self._reported_leaving[target], (target,))
        self._refresh(target)

    def set_ejected(self, target: str, ejected: bool) -> None:
        """Eject a target from ordinary choice, or readmit it."""
        if ejected:
            self._ejected.add(target)
        else:
            self._ejected.discard(target)
        self._update_free(target)

    def has_room(self, target: str) -> bool:
        """Whether a request may be sent to a target, even an ejected one."""
        used = self._in_flight.get(target, 0)
        return used < self._allowed.get(target, 0) and target not in self._paused

    def has_free(self) -> bool:
        """Whether any target is open to ordinary choice."""
        return len(self._free) > 0

    def sample(
        self, source: random.Random, count: int, exclude: frozenset[str]
    ) -> list[str]:
        """Return a few targets with a free slot."""
        return self._free.sample(source, count, exclude)

    def count_at(self, target: str) -> int:
        """Return the requests of this entry at a target."""
        return self._in_flight.get(target, 0)

    def count_in_flight(self) -> dict[str, int]:
        """Return the requests of this entry at each target that has any."""
        return dict(self._in_flight)

    def _change_in_flight(self, target: str, by: int) -> None:
        before = self._in_flight.get(target, 0)
        allowed = self._allowed.get(target, 0)
        after = max(0, before + by)
        self.free_slots += max(0, allowed - after) - max(0, allowed - before)
        if after:
            self._in_flight[target] = after
        else:
            self._in_flight.pop(target, None)
        self._update_free(target)

    def _schedule_refresh(
        self, time: float, targets: tuple[str, ...], grant: Grant | None = None
    ) -> None:
        self._sequence += 1
        heapq.heappush(self._due, (time, self._sequence, targets, grant))

    def _refresh_all(self, targets: Iterable[str]) -> None:
        for target in targets:
            self._refresh(target)

    def _refresh(self, target: str) -> None:
        if self._paused.get(target, self._now) <= self._now:
            self._paused.pop(target, None)
        if self._reported_leaving.get(target, self._now) <= self._now:
            self._reported_leaving.pop(target, None)
        used = self._in_flight.get(target, 0)
        before = self._allowed.get(target, 0)
        allowed = self._find_allowed(target)
        self.total_slots += allowed - before
        self.free_slots += max(0, allowed - used) - max(0, before - used)
        if allowed:
            self._allowed[target] = allowed
        else:
            self._allowed.pop(target, None)
        self._update_free(target)

    def _find_allowed(self, target: str) -> int:
        if target in self._leaving or target in self._reported_leaving:
            return 0
        return self._allowances.find(target, self._now)

    def _update_free(self, target: str) -> None:
        if target not in self._ejected and self.has_room(target):
            self._free.add(target)
        else:
            self._free.discard(target)
