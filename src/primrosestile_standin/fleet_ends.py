"""The ends that an in-memory worker lists until they are acknowledged."""

import asyncio
from dataclasses import replace

from primrosestile.protocol.fleet import EndedTask
from primrosestile.state.workers import EndKind


class EndList:
    """Numbered ends of runs, and the polls that wait for another one."""

    def __init__(self) -> None:
        self._ended: list[EndedTask] = []
        self._number = 0
        self._acknowledged = 0
        self._changed = asyncio.Event()

    def add(self, task: str, run: int, kind: EndKind, checkpoint: str) -> None:
        """Add an end with the next number."""
        self._number += 1
        self._ended.append(EndedTask(self._number, task, run, kind, checkpoint))

    def announce(self) -> None:
        """End the waits of the polls that wait now."""
        self._changed.set()
        self._changed = asyncio.Event()

    def end_waits(self) -> None:
        """End all waits, also later ones until the next end."""
        self._changed.set()

    def acknowledge(self, seen: int) -> list[EndedTask]:
        """Remove and return the ends up to a number, or the highest one so far.

        An end with such a number that comes later is removed as well.
        """
        self._acknowledged = last = max(self._acknowledged, seen)
        acknowledged = [each for each in self._ended if each.number <= last]
        self._ended = [each for each in self._ended if each.number > last]
        return acknowledged

    def show(self, jumps: list[int]) -> tuple[EndedTask, ...]:
        """Return the listed ends.

        Args:
            jumps: By how much the last one's number is too high, in this answer and the
                next ones; the first is removed when it is used.
        """
        ended = list(self._ended)
        if ended and jumps:
            ended[-1] = replace(ended[-1], number=ended[-1].number + jumps.pop(0))
        return tuple(ended)

    async def wait(self, seconds: float) -> bool:
        """Wait until an end is listed; return False after a timeout."""
        if self._ended:
            return True
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True
