"""Hooks that every feature shares: nothing that a scenario starts outlives it."""

from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    context.cleanups = []


def after_scenario(context: Any, scenario: Any) -> None:
    for clean_up in reversed(context.cleanups):
        clean_up()
