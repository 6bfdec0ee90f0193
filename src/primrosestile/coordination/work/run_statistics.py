"""Stores the owner's statistics of speeds, run times and use for the next owner.

It takes some minutes of tasks to find out which workers are slow. An owner without
these statistics would give urgent work to slow workers again: on a day on which the
owner's machine is lost, a third of the urgent jobs that started at once was late.
"""

import msgspec
import structlog

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.work.keys import OWNER_KEY, STATISTICS_KEY
from primrosestile.coordination.work.term import Term
from primrosestile.decisions.work.durations import Durations, QueueRunTimes
from primrosestile.decisions.work.organisation_shares import OrganisationShares
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.errors import Failure
from primrosestile.protocol.transactions import Condition, TransactionalStore, Write
from primrosestile.state.decoding import Undecodable, decode_msgpack

# How often they are written; a lost owner's statistics since the last write are lost.
WRITE_SECONDS = 4.0

_log = structlog.get_logger()


class RunStatistics(msgspec.Struct, frozen=True):
    """The stored form.

    Attributes:
        speeds: For each worker, how often it was compared and its factor.
        durations: For each queue, the statistics of its runs.
        uses: What each organisation used lately, by pool.
        written_at: Seconds since 1970.
    """

    speeds: dict[str, tuple[int, float]] = {}
    durations: dict[str, QueueRunTimes] = {}
    uses: dict[str, dict[str, float]] = {}
    written_at: float = 0.0


class StatisticsStore:
    """Reads and writes the statistics."""

    def __init__(
        self,
        store: TransactionalStore,
        term: Term,
        durations: Durations,
        speeds: Speeds,
        shares: OrganisationShares,
    ) -> None:
        self._store = store
        self._term = term
        self._durations = durations
        self._speeds = speeds
        self._shares = shares
        self._written = b""
        self._written_at = read_clock()

    async def load(self) -> None:
        """Restore the statistics of the previous owner."""
        entry = await self._store.get(STATISTICS_KEY)
        if entry is None:
            return
        try:
            statistics = decode_msgpack(entry.value, RunStatistics)
        except Undecodable as error:
            _log.warning("learned_unreadable", error=str(error))
            return
        self._speeds.restore(statistics.speeds)
        self._durations.restore(statistics.durations)
        age = read_wall_clock() - statistics.written_at
        self._shares.restore(statistics.uses, age)
        self._written = entry.value

    @property
    def due(self) -> bool:
        """Whether it is time to write again."""
        return read_clock() - self._written_at > WRITE_SECONDS

    async def save(self) -> None:
        """Write the statistics if they have changed."""
        self._written_at = read_clock()
        uses = self._shares.uses
        statistics = RunStatistics(
            self._speeds.make_record(),
            self._durations.make_record(),
            uses,
            # Without use the record need not change while nothing is learned.
            read_wall_clock() if uses else 0.0,
        )
        value = msgspec.msgpack.encode(statistics)
        if value == self._written:
            return
        try:
            done = await self._store.commit(
                [Condition(OWNER_KEY, self._term.fence)], [Write(STATISTICS_KEY, value)]
            )
        except Failure as failure:
            # The next write has everything; until then, a new owner starts with less.
            _log.info("learned_not_written", reason=str(failure))
            return
        if done.done:
            self._written = value
