"""Steps for the soak's regression seeds."""

import tempfile
from pathlib import Path
from typing import Any

from behave import then, when
from tools.soak import Options, run_seed


@when("soak seed {seed:d} runs for {seconds:g} s")
def step_soak(context: Any, seed: int, seconds: float) -> None:
    context.folder = Path(tempfile.mkdtemp()) / f"seed-{seed}"
    context.soak, context.wrong = run_seed(seed, Options(seconds), context.folder)


@when("soak seed {seed:d} runs for {seconds:g} s with a growing policy and slow links")
def step_soak_growth(context: Any, seed: int, seconds: float) -> None:
    context.folder = Path(tempfile.mkdtemp()) / f"seed-{seed}"
    options = Options(seconds, growth=True)
    context.soak, context.wrong = run_seed(seed, options, context.folder)


@then("each process served callers by the newest policy, and nothing was lost")
@then("nothing was lost, nothing ran twice and no refused work ran")
def step_nothing_wrong(context: Any) -> None:
    assert not context.wrong, (context.wrong, f"logs in {context.folder}")
