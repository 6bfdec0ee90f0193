"""Ports of concurrent deployments."""

from itertools import islice
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from tools import launch


@given("two deployments that choose from the same {count:d} ports")
def start_deployments(context: Any, count: int) -> None:
    first = launch.PORTS[-count]
    ports = patch.object(launch, "PORTS", range(first, first + count))
    ports.start()
    context.cleanups.append(ports.stop)
    context.iterators = [launch.iterate_ports(), launch.iterate_ports()]


@when("each takes {count:d} ports and nothing listens on them yet")
def take_ports(context: Any, count: int) -> None:
    context.taken = [
        port for ports in context.iterators for port in islice(ports, count)
    ]


@then("no port was taken twice")
def check_ports(context: Any) -> None:
    assert context.taken
    assert len(set(context.taken)) == len(context.taken), sorted(context.taken)
