"""Ports of deployments that start side by side."""

from itertools import islice
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from tools import launch


@given("two deployments that look at the same {count:d} ports")
def step_two(context: Any, count: int) -> None:
    first = launch.PORTS[-count]
    ports = patch.object(launch, "PORTS", range(first, first + count))
    ports.start()
    context.cleanups.append(ports.stop)
    context.ways = [launch.iterate_ports(), launch.iterate_ports()]


@when("each takes {count:d} ports and nothing listens on them yet")
def step_take(context: Any, count: int) -> None:
    context.taken = [port for way in context.ways for port in islice(way, count)]


@then("no port was taken twice")
def step_once(context: Any) -> None:
    assert context.taken
    assert len(set(context.taken)) == len(context.taken), sorted(context.taken)
