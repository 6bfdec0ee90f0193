"""What an owner has learned, kept in the store for the next one.

Which workers are slow takes some minutes of tasks to find out. An owner that began
blind would give urgent work to slow workers again: on a day on which the owning
machine is lost, a third of the urgent jobs that started at once was late.
"""

import msgspec
import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.keys import LEARNED_KEY, OWNER_KEY
from primrosestile.coordination.work.term import Term
from primrosestile.decisions.work.durations import Durations, Seen
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.errors import Failure
from primrosestile.protocol.transactions import Condition, TransactionalStore, Write

# How often it is written: what is lost with an owner is what it learned since.
WRITE_SECONDS = 4.0

_log = structlog.get_logger()


class Learned(msgspec.Struct, frozen=True):
    """The stored form.

    Attributes:
        speeds: For each worker, how often it was compared and its factor.
        durations: For each queue, what was seen of its runs.
    """

    speeds: dict[str, tuple[int, float]] = {}
    durations: dict[str, Seen] = {}


class Memory:
    """Reads and writes what was learned."""

    def __init__(
        self,
        store: TransactionalStore,
        term: Term,
        durations: Durations,
        speeds: Speeds,
    ) -> None:
        self._store = store
        self._term = term
        self._durations = durations
        self._speeds = speeds
        self._written = b""
        self._written_at = read_clock()

    async def load(self) -> None:
        """Begin with what the owner before has learned."""
        entry = await self._store.get(LEARNED_KEY)
        if entry is None:
            return
        try:
            learned = msgspec.msgpack.decode(entry.value, type=Learned)
        except msgspec.MsgspecError as error:
            _log.warning("learned_unreadable", error=str(error))
            return
        self._speeds.restore(learned.speeds)
        self._durations.restore(learned.durations)
        self._written = entry.value

    @property
    def due(self) -> bool:
        """Whether it is time to write again."""
        return read_clock() - self._written_at > WRITE_SECONDS

    async def save(self) -> None:
        """Write what has been learned, unless that has not changed."""
        self._written_at = read_clock()
        learned = Learned(self._speeds.make_record(), self._durations.make_record())
        value = msgspec.msgpack.encode(learned)
        if value == self._written:
            return
        try:
            done = await self._store.commit(
                [Condition(OWNER_KEY, self._term.fence)], [Write(LEARNED_KEY, value)]
            )
        except Failure as failure:
            # It only makes a next owner slower to learn; the next write has all.
            _log.info("learned_not_written", reason=str(failure))
            return
        if done.done:
            self._written = value
