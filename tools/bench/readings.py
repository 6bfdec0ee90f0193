"""Measures the processor time, memory and traffic of running programs."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import aiohttp
import numpy as np
import psutil

from tools.launch import Deployment, Program

LOOPBACK = "lo"


@dataclass(frozen=True)
class Reading:
    """What programs used over some seconds.

    Attributes:
        seconds: Length of the measurement.
        processor: Processor seconds a second, by program name.
        memory: Resident megabytes at the end, by program name.
        traffic: Bytes a second over the loopback interface, of all processes.
        store_calls: Calls to the store a second, by kind of call.
    """

    seconds: float
    processor: dict[str, float]
    memory: dict[str, float]
    traffic: float
    store_calls: dict[str, float]


def read_processor(program: Program) -> float:
    times = psutil.Process(program.process.pid).cpu_times()
    return times.user + times.system


def read_memory(program: Program) -> float:
    return psutil.Process(program.process.pid).memory_info().rss / 1e6


def read_traffic() -> int:
    return psutil.net_io_counters(pernic=True)[LOOPBACK].bytes_sent


def list_programs(deployment: Deployment) -> dict[str, Program]:
    return {
        program.name: program
        for vm in deployment.vms.values()
        for program in vm.programs.values()
        if program.is_running
    }


def measure(deployment: Deployment, action: Callable[[], object]) -> Reading:
    """Return what the programs use while an action runs."""
    programs = list_programs(deployment)
    before = {name: read_processor(each) for name, each in programs.items()}
    calls = deployment.store.read_calls()
    traffic = read_traffic()
    started = time.monotonic()
    action()
    seconds = time.monotonic() - started
    sent = read_traffic() - traffic
    after = deployment.store.read_calls()
    return Reading(
        seconds=round(seconds, 3),
        processor={
            name: (read_processor(each) - before[name]) / seconds
            for name, each in programs.items()
        },
        memory={name: read_memory(each) for name, each in programs.items()},
        traffic=sent / seconds,
        store_calls={
            kind: (count - calls.get(kind, 0)) / seconds
            for kind, count in after.items()
        },
    )


def measure_at_rest(deployment: Deployment, seconds: float) -> Reading:
    """Return what the programs use for some seconds without callers."""
    return measure(deployment, lambda: time.sleep(seconds))


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return the base and the slope of the least-squares line through points."""
    xs, ys = zip(*points, strict=True)
    slope, base = np.polyfit(xs, ys, 1)
    return float(base), float(slope)


def run_calls(
    calls: Sequence[Callable[[aiohttp.ClientSession], Awaitable[None]]],
    concurrency: int,
) -> float:
    """Make HTTP calls with some concurrency; return the seconds that they took."""

    async def run() -> float:
        connector = aiohttp.TCPConnector(limit=concurrency)
        async with aiohttp.ClientSession(connector=connector) as session:
            remaining = iter(calls)

            async def send() -> None:
                for call in remaining:
                    await call(session)

            started = time.monotonic()
            await asyncio.gather(*(send() for _ in range(concurrency)))
            return time.monotonic() - started

    return asyncio.run(run())
