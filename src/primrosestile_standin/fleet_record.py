"""The record of starts and ends on the in-memory workers, and what it violates.

It detects tasks that start after a successful end that the owner has acknowledged, and
tasks that keep being started although they crash their workers.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from primrosestile.protocol.fleet import EndedTask
from primrosestile.state.workers import EndKind

# After a task has crashed CRASH_LIMIT workers, STARTS_AFTER_LIMIT more starts of it
# are a violation.
CRASH_LIMIT = 3
STARTS_AFTER_LIMIT = 3


class LeaseHolder(Protocol):
    """A worker whose lease may expire.

    Attributes:
        lapses: How many polls and orders found its lease expired.
    """

    lapses: int


@dataclass(frozen=True, slots=True)
class _SuccessfulEnd:
    """A successful end, with its worker's lapses and the count of starts by then."""

    worker: LeaseHolder
    run: int
    lapses: int
    starts: int


class FleetRecord:
    """Starts, ends and violations, in order.

    Attributes:
        starts: Task, run and worker of each.
        ends: Task, run and kind of each.
        violations: Violated invariants, as texts; must be empty at the end of a test.
    """

    def __init__(self, name_unit: Callable[[str], str]) -> None:
        """Start an empty record.

        Args:
            name_unit: Returns the unit of a task.
        """
        self.starts: list[tuple[str, int, str]] = []
        self.ends: list[tuple[str, int, EndKind]] = []
        self.violations: list[str] = []
        self._name_unit = name_unit
        self._starts_after_limit: Counter[str] = Counter()
        self._successful_ends: dict[str, list[_SuccessfulEnd]] = {}
        self._acknowledged_units: set[str] = set()

    def check_start(self, task: str, crashes: int) -> None:
        """Check a start of a task that has crashed so many workers."""
        if self._name_unit(task) in self._acknowledged_units:
            self.violations.append(f"{task} starts after its successful end")
        if crashes < CRASH_LIMIT:
            return
        self._starts_after_limit[task] += 1
        if self._starts_after_limit[task] == STARTS_AFTER_LIMIT:
            self.violations.append(
                f"{task} was started {STARTS_AFTER_LIMIT} more times after it had"
                f" crashed {CRASH_LIMIT} workers"
            )

    def record_end(
        self, worker: LeaseHolder, task: str, run: int, kind: EndKind
    ) -> None:
        """Record an end."""
        self.ends.append((task, run, kind))
        if kind is EndKind.DONE:
            end = _SuccessfulEnd(worker, run, worker.lapses, len(self.starts))
            self._successful_ends.setdefault(task, []).append(end)

    def record_acknowledged(self, worker: LeaseHolder, ended: EndedTask) -> None:
        """Record an acknowledged end, and the violating starts after it.

        An end does not count if the worker's lease has expired since.
        """
        unit = self._name_unit(ended.task)
        for end in self._successful_ends.get(ended.task, ()):
            if (end.worker, end.run, end.lapses) != (worker, ended.run, worker.lapses):
                continue
            self._acknowledged_units.add(unit)
            for task, run, _ in self.starts[end.starts :]:
                if self._name_unit(task) == unit:
                    self.violations.append(
                        f"{task} run {run} was started after an acknowledged end"
                    )
