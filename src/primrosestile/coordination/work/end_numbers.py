"""Decides up to which number the ended runs of a worker may be acknowledged.

A worker lists an end until a number not below that end's is acknowledged. If a faulty
number were acknowledged that is past the true one, the worker would drop each later end
before any owner has seen it: a run that ended well would be neither running nor ended,
and would run again. So a number counts if it follows on the last one, or if several
polls over some time show it for the same end; two polls in quick succession may show
the same fault. Numbers after a gap are thus each confirmed by more polls, and so are
the first numbers of each worker for a new owner, which can't know what was acknowledged
before.
"""

from collections.abc import Sequence

from primrosestile.protocol.fleet import EndedTask

# How many polls must show a number that does not follow, and over how long. A poll
# waits until its ends are stored, so two may be a second apart; more than three would
# slow down a new owner, which has to confirm the numbers of each worker.
CONFIRMING_POLLS = 3
CONFIRMING_SECONDS = 0.9
UNCONFIRMED_PAUSE_SECONDS = 0.5


class EndNumbers:
    """The numbers of one worker's ends.

    Attributes:
        seen: The highest number that may be acknowledged.
        doubtful: Whether the latest poll showed a number that is not confirmed yet.
    """

    def __init__(self) -> None:
        """Begin with no number seen."""
        self.seen = 0
        self.doubtful = False
        # For each end, since when successive polls show it, and how many.
        self._shown: dict[tuple[int, str, int], tuple[float, int]] = {}

    def take(self, ended: Sequence[EndedTask], now: float) -> int:
        """Record the ends that a poll shows; return the last number that counts."""
        last = self.seen
        self.doubtful = False
        shown = {}
        for each in ended:
            since, polls = self._shown.get(_name(each), (now, 0))
            shown[_name(each)] = (since, polls + 1)
        self._shown = shown
        for each in ended:
            if each.number <= self.seen:
                continue
            if each.number != last + 1 and not self._is_confirmed(each, now):
                self.doubtful = True
                break
            last = each.number
        return last

    def _is_confirmed(self, ended: EndedTask, now: float) -> bool:
        since, polls = self._shown[_name(ended)]
        return polls >= CONFIRMING_POLLS and now - since >= CONFIRMING_SECONDS

    def acknowledge(self, number: int) -> None:
        """Record that ends up to a number are in the store."""
        self.seen = max(self.seen, number)


def _name(ended: EndedTask) -> tuple[int, str, int]:
    return ended.number, ended.task, ended.run
