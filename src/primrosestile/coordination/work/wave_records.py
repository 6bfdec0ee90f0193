"""Stores the progress of maintenance waves.

The time until a wave's deadline is counted by the monotonic clocks of successive
owners; each stores in the record how much has passed. The times of day of two owners
may differ by minutes: by these, work would be stopped before the deadline, or be waited
for long after it.
"""

from collections.abc import Iterator

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.work.keys import OWNER_KEY, make_wave_key
from primrosestile.coordination.work.term import LEASE_SECONDS, Term
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import Condition, TransactionalStore, Write
from primrosestile.state.decoding import Undecodable, decode_msgpack
from primrosestile.state.maintenance import Wave, WaveRecord
from primrosestile.state.work import encode_record

# How often the record is written for the time passed alone. The next owner counts on
# from there, and the reserve before the deadline covers the time since the last write.
WRITE_INTERVAL_SECONDS = 2.0


class RecordUnreadable(Exception):
    """The stored record of a wave can't be decoded.

    Attributes:
        revision: The revision of the record.
    """

    def __init__(self, revision: int) -> None:
        super().__init__(f"at revision {revision}")
        self.revision = revision


class WaveRecords:
    """The records of the waves that one owner carries out, written under its fence."""

    def __init__(self, store: TransactionalStore, term: Term) -> None:
        self._store = store
        self._term = term
        self._records: dict[int, tuple[WaveRecord, int]] = {}
        # Waves without a write yet, or whose latest one is unanswered: the store may
        # have another record, or none.
        self._unsettled: set[int] = set()
        # When waves were first known, on the loop's clock, former owners' time
        # included.
        self._known_since: dict[int, float] = {}

    def __iter__(self) -> Iterator[tuple[int, WaveRecord]]:
        """Yield the numbers of the waves and their records."""
        for number, (record, _) in self._records.items():
            yield number, record

    def find(self, wave: Wave) -> WaveRecord:
        """Return the record of a wave that was loaded."""
        return self._records[wave.number][0]

    def find_waited(self, wave: Wave) -> float:
        """Return for how long owners have known a wave, in seconds."""
        return read_clock() - self._known_since[wave.number]

    async def load(self, wave: Wave) -> bool:
        """Read an earlier owner's record of a wave; return whether the wave is new.

        Raises:
            RecordUnreadable: When the record can't be decoded.
            Failure: When the store does not answer.
        """
        if wave.number in self._records:
            return False
        entry = await self._store.get(make_wave_key(wave.number))
        if entry is not None:
            record = _decode(entry)
            self._records[wave.number] = (record, entry.mod_revision)
            # Includes the former owner's lease, which ran out after its last write.
            before = record.waited + LEASE_SECONDS
            self._known_since.setdefault(wave.number, read_clock() - before)
            return False
        self._known_since.setdefault(wave.number, read_clock())
        self._records[wave.number] = (WaveRecord(read_wall_clock()), 0)
        # A first record is written at once. Otherwise an owner that is lost before its
        # first order leaves no time of the wave, and the next one waits for work past
        # the deadline: `wave_taken` would be logged twice.
        self._unsettled.add(wave.number)
        return True

    async def settle(self, wave: Wave) -> None:
        """Write again after an unanswered write, to know which record is stored.

        An unanswered write that withdraws an order may have been carried out, or may be
        later. If the order were repeated by this owner's memory, the next owner would
        find none, count the VM as present and give a first order: one VM too many would
        be away, and what runs there would count as ended. Once a write is answered,
        either way, the earlier one has been carried out or its condition fails for
        good. The time passed is written at an interval too.
        """
        record = self.find(wave)
        unrecorded = self.find_waited(wave) - record.waited
        if wave.number in self._unsettled or unrecorded > WRITE_INTERVAL_SECONDS:
            await self.write(wave, record.begun, record.over)

    async def write(
        self, wave: Wave, begun: tuple[str, ...], over: tuple[str, ...]
    ) -> bool:
        """Write which VMs were ordered and for which maintenance is over.

        Returns:
            Whether it was written; if not, the stored record has been read.
        """
        record, revision = self._records[wave.number]
        waited = self.find_waited(wave)
        changed = WaveRecord(record.first_seen, begun, over, waited)
        key = make_wave_key(wave.number)
        self._unsettled.add(wave.number)
        done = await self._store.commit(
            [Condition(OWNER_KEY, self._term.fence), Condition(key, revision)],
            [Write(key, encode_record(changed))],
        )
        self._unsettled.discard(wave.number)
        if not done.done:
            # Our own record after a lost answer, or another owner's: read it.
            self._records.pop(wave.number, None)
            await self.load(wave)
            return False
        self._records[wave.number] = (changed, done.revision)
        return True


def _decode(entry: Entry) -> WaveRecord:
    try:
        return decode_msgpack(entry.value, WaveRecord)
    except Undecodable as error:
        raise RecordUnreadable(entry.mod_revision) from error
