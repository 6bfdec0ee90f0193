"""The faults of the stand-in's store that a test can switch on."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class FleetStoreFaults:
    """The active faults of the store.

    Attributes:
        down: Every call fails without effect; leases run on, or pause.
        hangs: No call takes effect, and none is answered.
        leases_pause: While the store is down or hangs, leases do not expire.
        refused: Processes whose calls are refused.
        silent: Processes whose calls are never answered.
        lose_writes: How many of the next writes take effect without an answer.
        lose_renewals: One of so many lease renewals takes effect without an answer;
            0 for none.
        late_writes: Delays of the next writes, in seconds; none is answered.
        silent_watches: Watches deliver no change.
        unread: For each process, a prefix whose lists and watches fail.
        unread_key: For each process, a key that it can't read.
        slow_seconds: Added to the duration of each call.
        megabits: For each process, the rate of its link for lists, in Mbit/s.
        stale_reads: Reads that may be stale return nothing.
        refuses_changes: Changes and checks are refused, reads are served.
    """

    down: bool = False
    hangs: bool = False
    leases_pause: bool = False
    refused: set[str] = field(default_factory=set)
    silent: set[str] = field(default_factory=set)
    lose_writes: int = 0
    lose_renewals: int = 0
    late_writes: list[float] = field(default_factory=list)
    silent_watches: bool = False
    unread: dict[str, str] = field(default_factory=dict)
    unread_key: dict[str, str] = field(default_factory=dict)
    slow_seconds: float = 0.0
    megabits: dict[str, float] = field(default_factory=dict)
    stale_reads: bool = False
    refuses_changes: bool = False
