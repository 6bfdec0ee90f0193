"""Up to which end a worker may forget its ends.

A worker repeats an end until it is told a number not below that end's. Told one that is
past its own, it forgets each later end before anybody has heard of it: what has ended
well is then neither running nor ended, and is run again. So a number counts if it
follows on the last one, or if two looks showed it for the same end. A worker whose
numbers have gaps is asked once more for each, and so is each worker by a new owner, who
can't know how far it has forgotten.
"""

from collections.abc import Sequence

from primrosestile.protocol.fleet import EndedTask


class EndNumbers:
    """The numbers of one worker's ends.

    Attributes:
        seen: Up to which it may forget.
        doubtful: How many looks on end showed a number that does not count yet.
    """

    def __init__(self) -> None:
        """Have seen none."""
        self.seen = 0
        self.doubtful = 0
        self._shown: frozenset[tuple[int, str, int]] = frozenset()

    def take(self, ended: Sequence[EndedTask]) -> int:
        """Take in the ends that a look shows; return the last number that counts."""
        last = self.seen
        doubts = False
        for each in ended:
            if each.number <= self.seen:
                continue
            if each.number != last + 1 and _name(each) not in self._shown:
                doubts = True
                break
            last = each.number
        self._shown = frozenset(_name(each) for each in ended)
        self.doubtful = self.doubtful + 1 if doubts else 0
        return last

    def forget(self, number: int) -> None:
        """Note that ends up to a number stand in the store."""
        self.seen = max(self.seen, number)


def _name(ended: EndedTask) -> tuple[int, str, int]:
    return ended.number, ended.task, ended.run
