"""Explore a model with every guard on, or with one of them switched off.

The search is minicheck's breadth-first exploration, so a broken property comes with
a shortest run that breaks it. An exploration that finds no violation proves nothing
if the model has too few states; each model therefore names witnesses that must be
reachable, and an exploration that misses one counts as failed.
"""

from collections.abc import Callable, Hashable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import minicheck

from specification.guards import Guard

Rules = frozenset[Guard]
Steps = Iterator[tuple[str, Hashable]]

# A larger model makes the check take longer than the minute that a developer waits
# for; split the model instead.
MAX_STATES = 200_000


@dataclass(frozen=True)
class Model:
    """The protocol behind one property, as states and the steps between them.

    Attributes:
        name: Short, for reports.
        initial: The state before the first step.
        steps: Yields a label and the next state for each possible step, given the
            guards that are on.
        properties: What must hold in every state.
        witnesses: What must hold in at least one state; shows that the model is not
            vacuous.
        guards: The guards that this model shows to be needed.
    """

    name: str
    initial: Hashable
    steps: Callable[[Any, Rules], Steps]
    properties: Mapping[str, Callable[[Any], bool]]
    witnesses: Mapping[str, Callable[[Any], bool]]
    guards: tuple[Guard, ...]


@dataclass(frozen=True)
class Exploration:
    """The result of one exploration.

    Attributes:
        states: Number of different states reached.
        complete: Whether every reachable state was explored.
        broken: For each broken property the labels of a shortest run to it.
        unseen: Witnesses that hold in no explored state.
    """

    states: int
    complete: bool
    broken: Mapping[str, tuple[str, ...]]
    unseen: tuple[str, ...]


def explore_whole(model: Model) -> Exploration:
    """Explore every state with all guards on."""
    seen: set[str] = set()

    def steps(wrapped: tuple[Any]) -> list[tuple[str, tuple[Any]]]:
        state = wrapped[0]
        seen.update(name for name, holds in model.witnesses.items() if holds(state))
        return _list_steps(model, state, frozenset(Guard))

    return _explore(model, steps, seen)


def explore_without(model: Model, guard: Guard) -> Exploration:
    """Explore with one guard off, until the first property breaks."""
    rules = frozenset(Guard) - {guard}
    broken = False

    def steps(wrapped: tuple[Any]) -> list[tuple[str, tuple[Any]]]:
        nonlocal broken
        state = wrapped[0]
        broken = broken or not all(holds(state) for holds in model.properties.values())
        return [] if broken else _list_steps(model, state, rules)

    return _explore(model, steps, set(model.witnesses))


def _list_steps(model: Model, state: Any, rules: Rules) -> list[Any]:
    return [(label, (following,)) for label, following in model.steps(state, rules)]


def _explore(
    model: Model, steps: Callable[[tuple[Any]], list[Any]], seen: set[str]
) -> Exploration:
    protocol = minicheck.Protocol(
        name=model.name,
        candidate=False,
        fields=("state",),
        initial=(model.initial,),
        transitions=steps,
        invariants={
            name: lambda fields, holds=holds: holds(fields["state"])
            for name, holds in model.properties.items()
        },
    )
    result = minicheck.check_safety(protocol, max_states=MAX_STATES)
    broken = {
        name: tuple(step["label"] for step in verdict["counterexample"][1:])
        for name, verdict in result["properties"].items()
        if verdict["holds"] is False
    }
    return Exploration(
        states=result["reachable_states"],
        complete=result["exhaustive"],
        broken=broken,
        unseen=tuple(name for name in model.witnesses if name not in seen),
    )
