"""Print the results of the models: `python -m specification [--trace GUARD]`."""

import argparse
import time

from specification.explore import Exploration, Model, explore_whole, explore_without
from specification.guards import Guard
from specification.models import MODELS


def print_whole(model: Model) -> None:
    """Print the exploration of one model with every guard on."""
    begin = time.perf_counter()
    found = explore_whole(model)
    seconds = time.perf_counter() - begin
    verdict = "holds" if found.complete and not found.broken else "BROKEN"
    if found.unseen:
        verdict = f"EMPTY, never reached: {', '.join(found.unseen)}"
    print(f"{model.name}: {found.states} states, {seconds:.1f} s: {verdict}")


def print_without(model: Model, guard: Guard, trace: bool) -> None:
    """Print the shortest run that breaks a property with one guard off."""
    name, run = find_shortest(explore_without(model, guard))
    print(f"  without {guard.name}: {name or 'NOTHING BREAKS'}, {len(run)} steps")
    if trace:
        for number, label in enumerate(run, 1):
            print(f"    {number}. {label}")


def find_shortest(found: Exploration) -> tuple[str, tuple[str, ...]]:
    """Return the property broken by the shortest run, and that run."""
    if not found.broken:
        return "", ()
    return min(found.broken.items(), key=lambda broken: len(broken[1]))


def main() -> None:
    """Check every model, or show one guard's counterexamples in full."""
    parser = argparse.ArgumentParser(prog="python -m specification")
    parser.add_argument("--trace", choices=[guard.name for guard in Guard])
    wanted = parser.parse_args().trace
    for model in MODELS.values():
        guards = [guard for guard in model.guards if wanted in (None, guard.name)]
        if not guards:
            continue
        print_whole(model)
        for guard in guards:
            print_without(model, guard, trace=wanted is not None)


if __name__ == "__main__":
    main()
