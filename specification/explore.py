"""Explore a model with every rule in force, or with one of them switched off.

The search is minicheck's breadth-first sweep, so a broken promise comes with a
shortest run that breaks it. A sweep that finds nothing also proves nothing if the
model cannot do anything; each model therefore names what must be reachable, and
a sweep that never reaches it counts as failed.
"""

from collections.abc import Callable, Hashable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import minicheck

from specification.guards import Guard

Rules = frozenset[Guard]
Steps = Iterator[tuple[str, Hashable]]

# A model past this size would take the check past the minute that a developer
# waits for; it should be split instead.
MAX_STATES = 200_000


@dataclass(frozen=True)
class Model:
    """One promise's protocol, as states and the steps between them.

    Attributes:
        name: Short, for reports.
        initial: The state before anything has happened.
        steps: Yields a label and a following state for all that may happen next,
            given the rules in force.
        properties: What must hold in every state.
        witnesses: What must hold in some state, so that the sweep means something.
        guards: The rules that this model shows to be needed.
    """

    name: str
    initial: Hashable
    steps: Callable[[Any, Rules], Steps]
    properties: Mapping[str, Callable[[Any], bool]]
    witnesses: Mapping[str, Callable[[Any], bool]]
    guards: tuple[Guard, ...]


@dataclass(frozen=True)
class Exploration:
    """What one sweep found.

    Attributes:
        states: How many different states were reached.
        complete: Whether all of them were.
        broken: For each broken property the labels of a shortest run to it.
        unseen: Witnesses that no state showed.
    """

    states: int
    complete: bool
    broken: Mapping[str, tuple[str, ...]]
    unseen: tuple[str, ...]


def explore_whole(model: Model) -> Exploration:
    """Sweep every state with all rules in force."""
    seen: set[str] = set()

    def steps(wrapped: tuple[Any]) -> list[tuple[str, tuple[Any]]]:
        state = wrapped[0]
        seen.update(name for name, holds in model.witnesses.items() if holds(state))
        return _list_steps(model, state, frozenset(Guard))

    return _sweep(model, steps, seen)


def explore_without(model: Model, guard: Guard) -> Exploration:
    """Sweep without one rule, until the first property breaks."""
    rules = frozenset(Guard) - {guard}
    broken = False

    def steps(wrapped: tuple[Any]) -> list[tuple[str, tuple[Any]]]:
        nonlocal broken
        state = wrapped[0]
        broken = broken or not all(holds(state) for holds in model.properties.values())
        return [] if broken else _list_steps(model, state, rules)

    return _sweep(model, steps, set(model.witnesses))


def _list_steps(model: Model, state: Any, rules: Rules) -> list[Any]:
    return [(label, (following,)) for label, following in model.steps(state, rules)]


def _sweep(
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
