"""The owner's summary of the fleet's load, as other processes fetch it.

It is soft state: it is never stored, and a process that has none accepts every job.
What a summary leaves out never leads to a refusal, so it can be cut to its bound.
"""

import math

import msgspec

from primrosestile.state.decoding import Undecodable, decode_msgpack
from primrosestile.state.work import Need

# The largest encoded summary. Over 5 Mbit/s, the slowest link, it takes 0.1 s.
MAX_SUMMARY_BYTES = 64_000
# Past this age a summary says nothing about the fleet: within it, the work of a burst
# has started or ended.
MAX_AGE_SECONDS = 3.0


class QueueLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one queue.

    Attributes:
        pool: Its pool of workers.
        waiting: Accelerators that its ready units wait for.
        started: Accelerators that its units were started on, per second.
        wait: Expected seconds until a new job gets room, once it is late and has to
            wait for all that is of use to callers; 0 when unknown.
        fresh_wait: The same while the job can still meet its objective, so that it
            goes before late work.
        run_seconds: Mean run time of a task, where that predicts better than callers'
            estimates; else 0.
        jobs: Its waiting jobs by organisation.
        least: The fewest accelerators that a waiting unit needs to start, by label;
            units that need none do not count.
    """

    pool: str
    waiting: int = 0
    started: float = 0.0
    wait: float = 0.0
    fresh_wait: float = 0.0
    run_seconds: float = 0.0
    jobs: dict[str, int] = {}
    least: dict[str, int] = {}


class PoolLoad(msgspec.Struct, frozen=True, array_like=True):
    """Capacity of one pool.

    Attributes:
        accelerators: Of all its workers.
        started: Accelerators that units were started on, per second; 0 when unknown.
        workers: The largest capacity of one worker, by label; of any worker under "".
    """

    accelerators: int = 0
    started: float = 0.0
    workers: dict[str, Need] = {}


class UrgentUse(msgspec.Struct, frozen=True, array_like=True):
    """Accelerators of one organisation's urgent jobs that have not ended.

    Attributes:
        total: Of all these jobs.
        staying: Of those that will not end while the summary is in use.
    """

    total: int = 0
    staying: int = 0


class LoadSummary(msgspec.Struct, frozen=True, array_like=True):
    """The fleet's load as its owner saw it.

    Attributes:
        fence: Of the owner that made it.
        revision: Increases with each summary of one owner.
        age: Seconds since its owner last decided by the state in it, when it was sent.
        queues: By name.
        pools: By name.
        urgent: By organisation.
    """

    fence: int
    revision: int
    age: float = 0.0
    queues: dict[str, QueueLoad] = {}
    pools: dict[str, PoolLoad] = {}
    urgent: dict[str, UrgentUse] = {}

    @property
    def order(self) -> tuple[int, int]:
        """Sorts summaries by when they were made."""
        return self.fence, self.revision

    @property
    def has_waits(self) -> bool:
        """Whether some queue has a wait."""
        return any(each.wait > 0 for each in self.queues.values())


_encoder = msgspec.msgpack.Encoder()


def encode_load(summary: LoadSummary) -> bytes:
    """Return a summary as it is sent."""
    return _encoder.encode(summary)


def decode_load(value: bytes) -> LoadSummary:
    """Return a summary that was sent.

    Raises:
        Undecodable: When it can't be read.
    """
    if len(value) > MAX_SUMMARY_BYTES:
        raise Undecodable("the summary is too large")
    summary = decode_msgpack(value, LoadSummary)
    figures = [summary.age]
    for each in summary.queues.values():
        figures += each.waiting, each.started, each.wait, each.fresh_wait
        figures.append(each.run_seconds)
    if not all(math.isfinite(figure) and figure >= 0 for figure in figures):
        raise Undecodable("a figure of the summary is out of range")
    return summary
