"""Simulated processes on one paused clock that can be paused, resumed and killed.

A paused process (SIGSTOP, a paused VM) runs nothing, while time and all other processes
continue; its timers fire as soon as it runs again. The loop below simulates this for
all tasks of one process by holding back their callbacks, as the operating system stops
a process between any two instructions.
"""

import asyncio
import contextvars
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Any

import looptime


class Running(Enum):
    """The state of a process."""

    YES = "yes"
    PAUSED = "paused"
    KILLED = "killed"


class SimulatedProcess:
    """One process: its name, its state and its held callbacks."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.state = Running.YES
        self.main: asyncio.Task[Any] | None = None
        self._held: list[Callable[[], None]] = []
        self._context = contextvars.copy_context()
        self._context.run(_current.set, self)

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine as a task of this process."""
        loop = asyncio.get_running_loop()
        return loop.create_task(work, context=self._context.copy())

    def hold(self, callback: Callable[[], None]) -> None:
        self._held.append(callback)

    def pause(self) -> None:
        if self.state is Running.YES:
            self.state = Running.PAUSED

    def resume(self) -> None:
        if self.state is not Running.PAUSED:
            return
        self.state = Running.YES
        self.release()

    def release(self) -> None:
        """Run the held callbacks."""
        held, self._held = self._held, []
        for callback in held:
            callback()

    def kill(self) -> None:
        self.state = Running.KILLED


_current: contextvars.ContextVar[SimulatedProcess | None] = contextvars.ContextVar(
    "process", default=None
)


def find_process() -> SimulatedProcess | None:
    """Return the process of the current task; None outside of any process."""
    return _current.get()


class ProcessLoop(looptime.LoopTimeEventLoop, asyncio.SelectorEventLoop):
    """A loop with a paused clock that runs no callbacks of a paused process."""

    def __init__(self) -> None:
        # No empty cycles are needed, because nothing outside of the loop is awaited.
        super().__init__(noop_cycles=0)
        self.ending = False
        self.processes: set[SimulatedProcess] = set()

    def call_soon(
        self,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        # An empty context is false, so it is compared with None.
        context = contextvars.copy_context() if context is None else context
        process = context.get(_current)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        return self._call_gated(super().call_soon, process, callback, args, context)

    def call_at(
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        # An empty context is false, so it is compared with None.
        context = contextvars.copy_context() if context is None else context
        process = context.get(_current)
        if process is None:
            return super().call_at(when, callback, *args, context=context)

        def schedule(gated: Callable[[], None], context: Any) -> asyncio.TimerHandle:
            return super(ProcessLoop, self).call_at(when, gated, context=context)

        return self._call_gated(schedule, process, callback, args, context)

    def _call_ungated(
        self, run: Callable[[], None], context: contextvars.Context
    ) -> None:
        super().call_soon(run, context=context)

    def _call_gated(
        self,
        schedule: Callable[..., Any],
        process: SimulatedProcess,
        callback: Callable[..., Any],
        args: tuple[Any, ...],
        context: contextvars.Context,
    ) -> Any:
        self.processes.add(process)

        def run() -> None:
            if handle.cancelled():
                return
            if process.state is Running.YES or self.ending:
                callback(*args)
            else:
                process.hold(lambda: self._call_ungated(run, context))

        handle = schedule(run, context=context)
        return handle


class PausedRunner:
    """Runs coroutines on a `ProcessLoop`, and cancels all tasks in `close`."""

    def __init__(self) -> None:
        self._loop = ProcessLoop()
        self._runner = asyncio.Runner(loop_factory=lambda: self._loop)

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        return self._runner.run(work)

    def advance(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    @property
    def now(self) -> float:
        return self._loop.time()

    def close(self) -> None:
        # Tasks of killed processes can be cancelled only if their callbacks run.
        self._loop.ending = True
        for process in self._loop.processes:
            process.release()
        self._runner.close()
