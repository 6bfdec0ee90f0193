"""How far waves of upkeep got, as it stands in the store.

A wave's deadline is counted by owners' steady clocks, one after another; each notes in
the record how much has passed. Two owners' times of day may be minutes apart: work
would be thrown away as if the deadline were past, or be waited for long after it.
"""

from collections.abc import Iterator

import msgspec

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.work.keys import OWNER_KEY, make_wave_key
from primrosestile.coordination.work.term import LEASE_SECONDS, Term
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import Condition, TransactionalStore, Write
from primrosestile.state.upkeep import Wave, WaveRecord
from primrosestile.state.work import encode_record

# How often the record is written while nothing happens but time; the next owner counts
# on from there, and the spare part of the deadline covers what it misses.
NOTE_SECONDS = 2.0


class RecordUnreadable(Exception):
    """What stands for a wave can't be read.

    Attributes:
        revision: At which it stands.
    """

    def __init__(self, revision: int) -> None:
        super().__init__(f"at revision {revision}")
        self.revision = revision


class WaveRecords:
    """The records of the waves that one owner follows, written under its fence."""

    def __init__(self, store: TransactionalStore, term: Term) -> None:
        self._store = store
        self._term = term
        self._records: dict[int, tuple[WaveRecord, int]] = {}
        # Waves of which the latest write, or any, was not answered yet: the store may
        # hold another record, or none.
        self._unsettled: set[int] = set()
        # Since when waves are known, on the loop's clock, former owners' time included.
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
        """Read how far an earlier owner brought a wave; return whether it is new.

        Raises:
            RecordUnreadable: When what stands there can't be read.
            Failure: When the store does not answer.
        """
        if wave.number in self._records:
            return False
        entry = await self._store.get(make_wave_key(wave.number))
        if entry is not None:
            record = _decode(entry)
            self._records[wave.number] = (record, entry.mod_revision)
            # The former owner's lease has run out since it wrote.
            before = record.waited + LEASE_SECONDS
            self._known_since.setdefault(wave.number, read_clock() - before)
            return False
        self._known_since.setdefault(wave.number, read_clock())
        self._records[wave.number] = (WaveRecord(read_wall_clock()), 0)
        # It is written before anything is waited for. Else an owner that is lost before
        # its first order leaves no time of the wave, and the next one waits for work
        # past the deadline: one would see `wave_taken` twice.
        self._unsettled.add(wave.number)
        return True

    async def settle(self, wave: Wave) -> None:
        """Find out which record stands after a write that went unanswered.

        One that takes an order back may stand, or land later. Were the order given
        again by what this owner remembers, the next owner would find none, count the VM
        as there and give a first order: one VM too many is away, and what runs there
        counts as ended. Once a write is answered, whichever way, the earlier one has
        landed or its condition never holds again.
        """
        record = self.find(wave)
        unnoted = self.find_waited(wave) - record.waited
        if wave.number in self._unsettled or unnoted > NOTE_SECONDS:
            await self.write(wave, record.begun, record.over)

    async def write(
        self, wave: Wave, begun: tuple[str, ...], over: tuple[str, ...]
    ) -> bool:
        """Write which VMs were ordered and which have it behind them.

        Returns:
            Whether it stands; else the record that does has been read.
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
            # Ours after a lost answer, or another owner's: read anew either way.
            self._records.pop(wave.number, None)
            await self.load(wave)
            return False
        self._records[wave.number] = (changed, done.revision)
        return True


def _decode(entry: Entry) -> WaveRecord:
    try:
        return msgspec.msgpack.decode(entry.value, type=WaveRecord)
    except msgspec.MsgspecError as error:
        raise RecordUnreadable(entry.mod_revision) from error
