"""Structured lines on standard output, bounded and never waited for."""

import sys
from typing import Any

import msgspec
import structlog

# Lines a second that one process writes at most; writing costs processor time, and
# a fault that repeats must not take it from callers. What was left out is counted.
LINES_PER_SECOND = 400


class _Bounded:
    """Drops lines past the bound of a second and tells how many."""

    def __init__(self) -> None:
        self._second = 0
        self._count = 0
        self._dropped = 0

    def __call__(self, logger: Any, method: str, event: Any) -> Any:
        second = int(event.get("at", 0))
        if second != self._second:
            self._second = second
            self._count = 0
            if self._dropped:
                event["lines_dropped"] = self._dropped
                self._dropped = 0
        self._count += 1
        if self._count > LINES_PER_SECOND:
            self._dropped += 1
            raise structlog.DropEvent
        return event


def _encode(value: Any, default: Any) -> str:
    return msgspec.json.encode(value, enc_hook=str).decode()


def set_up_node_logs(process: str) -> None:
    """Write one JSON object a line, with the time and the process's name."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(key="at"),
            _Bounded(),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_encode),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(process=process)
