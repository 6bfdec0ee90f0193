"""Settings that were in force everywhere stay in force while processes restart.

The store is down, three processes have the same revision in force, and each may be
replaced at any time by one without settings, also all of them at once.

Left out: a revision that was not yet in force everywhere when the store went down; a
replaced process may then start with its peers' older revision, and applies the newer
one when a peer relays it.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from specification.explore import Model, Rules
from specification.guards import Guard

IN_FORCE = 2


@dataclass(frozen=True, slots=True)
class Process:
    """One process; revision 0 means that it has no settings."""

    revision: int = IN_FORCE
    ready: bool = True


@dataclass(frozen=True, slots=True)
class State:
    """Three processes and the store."""

    processes: tuple[Process, Process, Process] = (Process(), Process(), Process())
    store_up: bool = False


def list_steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield every possible next step."""
    if not state.store_up:
        yield "the store answers again", replace(state, store_up=True)
    for index, process in enumerate(state.processes):
        replaced = _put(state, index, Process(0, ready=False))
        yield f"process {index} is replaced", replaced
        if not process.ready:
            yield from _start(state, index, rules)


def _put(state: State, index: int, process: Process) -> State:
    processes = list(state.processes)
    processes[index] = process
    return replace(state, processes=(processes[0], processes[1], processes[2]))


def _start(state: State, index: int, rules: Rules) -> Iterator[tuple[str, State]]:
    if state.store_up:
        started = _put(state, index, Process(IN_FORCE))
        yield f"process {index} starts from the store", started
    guarded = Guard.START_FROM_HIGHEST in rules
    for peer, process in enumerate(state.processes):
        if peer != index and (process.ready or not guarded):
            started = _put(state, index, Process(process.revision))
            yield f"process {index} starts from process {peer}", started


MODEL = Model(
    name="restart",
    initial=State(),
    steps=list_steps,
    properties={
        "a revision in force everywhere stays in force": lambda state: all(
            process.revision == IN_FORCE for process in state.processes if process.ready
        ),
    },
    witnesses={
        "all processes are replaced at once": lambda state: (
            not any(process.ready for process in state.processes)
        ),
    },
    guards=(Guard.START_FROM_HIGHEST,),
)
