"""Set-up of structured, rate-limited log lines on standard output."""

import logging
import time
from collections.abc import Callable, Mapping
from dataclasses import is_dataclass
from typing import Any

import msgspec
import structlog

from primrosestile.programs.log_limits import LineBounds

# Present in every line, so that a search for an id finds all its lines.
LINE_FIELDS = ("request_id", "job_id", "epoch")

# Tracebacks omit local variables, which hold callers' tokens and our keys.
_TRACES = structlog.tracebacks.ExceptionDictTransformer(show_locals=False)


def set_up_logs(
    process: str,
    level: str = "info",
    count_dropped: Callable[[str], None] = lambda event: None,
    read_time: Callable[[], float] = time.monotonic,
) -> None:
    """Configure logging of one JSON object per line to standard output.

    Args:
        process: Process name, a field of every line.
        count_dropped: Called with the event of each line over the rate limit.
        level: The lowest level that is written, as structlog names it.
        read_time: A monotonic clock, in seconds, for the rate limits.
    """
    number = logging.getLevelNamesMapping().get(level.upper(), logging.INFO)
    structlog.configure(
        processors=[
            LineBounds(count_dropped, read_time),
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
    """Return a value with data classes as text, which omits their secrets."""
    if is_dataclass(value):
        return str(value)
    if isinstance(value, Mapping):
        return {key: _show_records(each) for key, each in value.items()}
    if isinstance(value, list | tuple):
        return [_show_records(each) for each in value]
    return value
