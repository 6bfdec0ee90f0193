"""Structured lines on standard output, bounded and never waited for."""

import logging
import time
from collections.abc import Callable, Mapping
from dataclasses import is_dataclass
from typing import Any

import msgspec
import structlog

# Every line carries these, so that a search for one id finds every line of it.
LINE_FIELDS = ("request_id", "job_id", "epoch")
# Lines a second that one process writes at most; writing costs processor time, and
# a fault that repeats must not take it from callers. What was left out is counted.
LINES_PER_SECOND = 400

# Local variables stay out of traces: they hold callers' tokens and our keys.
_TRACES = structlog.tracebacks.ExceptionDictTransformer(show_locals=False)


class _Bound:
    """Drops lines past the bound of a second; the next line tells how many."""

    def __init__(self, read_time: Callable[[], float] = time.monotonic) -> None:
        self._read_time = read_time
        self._second = 0
        self._count = 0
        self._dropped = 0

    def __call__(
        self, logger: Any, method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        second = int(self._read_time())
        if second != self._second:
            self._second = second
            self._count = 0
        self._count += 1
        if self._count > LINES_PER_SECOND:
            self._dropped += 1
            raise structlog.DropEvent
        if self._dropped:
            event["lines_dropped"] = self._dropped
            self._dropped = 0
        return event


def set_up_logs(process: str, level: str = "info") -> None:
    """Write one JSON object a line to standard output."""
    number = logging.getLevelNamesMapping().get(level.upper(), logging.INFO)
    structlog.configure(
        processors=[
            _Bound(),
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.ExceptionRenderer(_TRACES),
            _add_line_fields,
            structlog.processors.JSONRenderer(serializer=_dump),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.PrintLoggerFactory(),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(process=process)


def _add_line_fields(
    logger: Any, method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    for name in LINE_FIELDS:
        event.setdefault(name, "")
    return event


def _dump(value: Any, default: Callable[[Any], Any]) -> str:
    return msgspec.json.encode(_show_records(value), enc_hook=str).decode()


def _show_records(value: Any) -> Any:
    """Return a value with records as text, which leaves out their secrets."""
    if is_dataclass(value):
        return str(value)
    if isinstance(value, Mapping):
        return {key: _show_records(each) for key, each in value.items()}
    if isinstance(value, list | tuple):
        return [_show_records(each) for each in value]
    return value
