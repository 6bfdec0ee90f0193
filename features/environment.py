"""Hooks of all features: everything that a scenario starts is cleaned up after it."""

from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    context.cleanups = []


def after_scenario(context: Any, scenario: Any) -> None:
    for clean_up in reversed(context.cleanups):
        clean_up()
