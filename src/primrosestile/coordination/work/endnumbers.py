"""Up to which end a worker may forget its ends.

A worker repeats an end until it is told a number not below that end's. Told one that is
past its own, it forgets each later end before anybody has heard of it: what has ended
well is then neither running nor ended, and is run again. So a number counts if it
follows on the last one, or if looks went on showing it for the same end for a time: two
that follow at once may show one and the same fault. A worker whose numbers have gaps is
asked again for each, and so is each worker by a new owner, who can't know how far it
has forgotten.
"""

from collections.abc import Sequence

from primrosestile.protocol.fleet import EndedTask

# How many looks must show a number that does not follow, and for how long. A look waits
# for the store to take its ends, so two may be a second apart; more than three would
# slow a new owner down, who has each worker to ask.
BORNE_OUT_LOOKS = 3
BORNE_OUT_SECONDS = 0.9
ASK_AGAIN_SECONDS = 0.5


class EndNumbers:
    """The numbers of one worker's ends.

    Attributes:
        seen: Up to which it may forget.
        doubtful: Whether the latest look showed a number that does not count yet.
    """

    def __init__(self) -> None:
        """Have seen none."""
        self.seen = 0
        self.doubtful = False
        # Since when looks on end show each, and how many.
        self._shown: dict[tuple[int, str, int], tuple[float, int]] = {}

    def take(self, ended: Sequence[EndedTask], now: float) -> int:
        """Take in the ends that a look shows; return the last number that counts."""
        last = self.seen
        self.doubtful = False
        shown = {}
        for each in ended:
            since, looks = self._shown.get(_name(each), (now, 0))
            shown[_name(each)] = (since, looks + 1)
        self._shown = shown
        for each in ended:
            if each.number <= self.seen:
                continue
            if each.number != last + 1 and not self._is_borne_out(each, now):
                self.doubtful = True
                break
            last = each.number
        return last

    def _is_borne_out(self, ended: EndedTask, now: float) -> bool:
        since, looks = self._shown[_name(ended)]
        return looks >= BORNE_OUT_LOOKS and now - since >= BORNE_OUT_SECONDS

    def forget(self, number: int) -> None:
        """Note that ends up to a number stand in the store."""
        self.seen = max(self.seen, number)


def _name(ended: EndedTask) -> tuple[int, str, int]:
    return ended.number, ended.task, ended.run
