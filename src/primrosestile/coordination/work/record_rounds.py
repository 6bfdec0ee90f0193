"""Which jobs' records are being written, and who waits for them.

A job's record is part of at most one round at a time: the next write of it needs the
revision that the one before returns. Rounds of different jobs don't depend on one
another, so a caller waits only for those with its own jobs.
"""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass

from primrosestile.decisions.work.units import Job


@dataclass(frozen=True, slots=True, eq=False)
class Round:
    """A set of records that is being written.

    Attributes:
        began: On the loop's clock.
    """

    jobs: frozenset[Job]
    began: float


@dataclass(frozen=True, slots=True, eq=False)
class _Waiter:
    """A caller that waits until the present changes of some jobs are stored.

    Attributes:
        jobs: Those whose changes are not in a round yet.
        rounds: The rounds under way that hold changes of the others.
    """

    jobs: set[Job]
    rounds: set[Round]
    done: asyncio.Future[None]

    def resolve(self) -> bool:
        """Wake the caller if nothing is left to wait for; return whether it was."""
        if self.jobs or self.rounds:
            return False
        if not self.done.done():
            self.done.set_result(None)
        return True


class RecordRounds:
    """The rounds under way."""

    def __init__(self) -> None:
        self._rounds: set[Round] = set()
        self._waiters: list[_Waiter] = []

    @property
    def began(self) -> float | None:
        """When the oldest round under way began; None when there is none."""
        return min((each.began for each in self._rounds), default=None)

    @property
    def writing(self) -> set[Job]:
        """The jobs whose records are being written."""
        return {job for each in self._rounds for job in each.jobs}

    def begin(self, jobs: Collection[Job], now: float) -> Round:
        """Begin a round of jobs that are in no other round."""
        started = Round(frozenset(jobs), now)
        self._rounds.add(started)
        for waiter in self._waiters:
            if not waiter.jobs.isdisjoint(started.jobs):
                waiter.jobs.difference_update(started.jobs)
                waiter.rounds.add(started)
        return started

    def end(self, ended: Round) -> None:
        """End a round whose records are stored."""
        self._rounds.remove(ended)
        for waiter in self._waiters:
            waiter.rounds.discard(ended)
        self._waiters = [each for each in self._waiters if not each.resolve()]

    async def wait(self, jobs: Collection[Job], changed: Collection[Job]) -> None:
        """Return once the present changes of jobs are stored.

        Args:
            jobs: Whose changes must be stored.
            changed: All jobs with changes that are in no round yet.
        """
        waiter = _Waiter(
            jobs={job for job in jobs if job in changed},
            rounds={each for each in self._rounds if not each.jobs.isdisjoint(jobs)},
            done=asyncio.get_running_loop().create_future(),
        )
        if not waiter.resolve():
            self._waiters.append(waiter)
        await waiter.done
