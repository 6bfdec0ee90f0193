"""A set that can be sampled at random in constant time."""

import random


class SampledSet:
    """Names with constant-time add, discard and random choice."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._places: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: str) -> bool:
        return name in self._places

    def add(self, name: str) -> None:
        """Put a name in, once."""
        if name not in self._places:
            self._places[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Take a name out, if it is in; the last one moves to its place."""
        place = self._places.pop(name, None)
        if place is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[place] = last
            self._places[last] = place

    def sample(
        self, source: random.Random, count: int, exclude: frozenset[str]
    ) -> list[str]:
        """Return up to `count` different names, none of those excluded.

        In random order, so that the first of equals is not always the same one.
        """
        names = self._names
        if len(names) <= count + len(exclude):
            first = int(source.random() * len(names))
            turned = names[first:] + names[:first]
            return [name for name in turned if name not in exclude][:count]
        picked: list[str] = []
        while len(picked) < count:
            name = names[int(source.random() * len(names))]
            if name not in exclude and name not in picked:
                picked.append(name)
        return picked
