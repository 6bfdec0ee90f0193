"""Run a state machine or a property with fixed seeds, or with fresh ones for a time."""

import os
import random
import time
from collections.abc import Callable
from typing import Any

from hypothesis import HealthCheck, Phase, Verbosity, given, seed, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

EXPLORE_VARIABLE = "PRIMROSESTILE_EXPLORE_SECONDS"
EXPLORE_EXAMPLES = 50


def run_machine(
    machine: type[RuleBasedStateMachine], examples: int, steps: int
) -> None:
    """Raise the oracle's assertion for the shortest failing run.

    Fresh seeds are printed, so that a failing run can be repeated.
    """
    explore_seconds = float(os.environ.get(EXPLORE_VARIABLE, "0"))
    if not explore_seconds:
        run_state_machine_as_test(machine, settings=_make_settings(examples, steps))
        return
    end = time.monotonic() + explore_seconds
    while time.monotonic() < end:
        number = random.SystemRandom().getrandbits(32)
        print(f"{machine.__name__}: seed {number}", flush=True)
        run_state_machine_as_test(
            seed(number)(machine),
            settings=_make_settings(EXPLORE_EXAMPLES, steps, derandomize=False),
        )


def run_property(
    check: Callable[[Any], None], values: strategies.SearchStrategy[Any], examples: int
) -> None:
    """Raise a property's assertion for the simplest failing value."""

    def test(value: Any) -> None:
        check(value)

    explore_seconds = float(os.environ.get(EXPLORE_VARIABLE, "0"))
    if not explore_seconds:
        _make_settings(examples, 1)(given(values)(test))()
        return
    end = time.monotonic() + explore_seconds
    while time.monotonic() < end:
        number = random.SystemRandom().getrandbits(32)
        print(f"{check.__name__}: seed {number}", flush=True)
        fresh = _make_settings(examples, 1, derandomize=False)
        seed(number)(fresh(given(values)(test)))()


def _make_settings(examples: int, steps: int, derandomize: bool = True) -> settings:
    return settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=derandomize,
        database=None,
        deadline=None,
        print_blob=False,
        verbosity=Verbosity.normal,
        phases=(Phase.explicit, Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
    )
