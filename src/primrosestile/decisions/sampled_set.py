"""A set with random sampling in constant time."""

import random


class SampledSet:
    """Names with constant-time add, discard and random choice."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._indexes: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: str) -> bool:
        return name in self._indexes

    def add(self, name: str) -> None:
        """Add a name if it is not in the set."""
        if name not in self._indexes:
            self._indexes[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name if it is in the set; the last one takes its index."""
        index = self._indexes.pop(name, None)
        if index is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[index] = last
            self._indexes[last] = index

    def sample(
        self, source: random.Random, count: int, exclude: frozenset[str]
    ) -> list[str]:
        """Return up to `count` different names, none of those excluded.

        The order is random, so that ties are not always broken the same way.
        """
        names = self._names
        if len(names) <= count + len(exclude):
            first = int(source.random() * len(names))
            rotated = names[first:] + names[:first]
            return [name for name in rotated if name not in exclude][:count]
        picked: list[str] = []
        while len(picked) < count:
            name = names[int(source.random() * len(names))]
            if name not in exclude and name not in picked:
                picked.append(name)
        return picked
