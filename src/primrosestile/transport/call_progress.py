"""Progress of one HTTP call, and the limits on its answer.

A fixed limit on the whole answer would cut a large one off on a slow link, and each
repetition would begin at its first byte again. So an answer that keeps arriving may
take longer than one that has not begun.
"""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp

from primrosestile.clock import read_clock


@dataclass(frozen=True, slots=True)
class AnswerLimits:
    """Limits on the answer to one call.

    Attributes:
        answer_seconds: Until the answer begins, including the wait for a connection,
            and between two parts of it.
        transfer_seconds: Added to that for the whole call once its answer has begun.
        body_bytes: A larger body is not transferred.
    """

    answer_seconds: float
    transfer_seconds: float = 0.0
    body_bytes: float = math.inf


def do_nothing() -> None:
    """Do nothing, for callers that need not know when an answer begins."""


class CallProgress:
    """How far a call has come, and when it must end.

    Attributes:
        sent: Whether the call has held a connection.
        timeout: To be entered around the call.
    """

    def __init__(self, limits: AnswerLimits, on_answer: Callable[[], None]) -> None:
        """Begin a call.

        Args:
            limits: The limits on its answer.
            on_answer: Called when the answer begins.
        """
        self._limits = limits
        self._on_answer = on_answer
        self._active_at = read_clock()
        self._latest = self._active_at + limits.answer_seconds + limits.transfer_seconds
        self._received: int | None = None
        self._stated: int | None = None
        self.sent = False
        self.timeout = asyncio.timeout(limits.answer_seconds)

    @property
    def silent_seconds(self) -> float:
        """Seconds since the call began or a part of its answer arrived."""
        return read_clock() - self._active_at

    @property
    def slow(self) -> bool:
        """Whether the answer was still arriving when the call's time was over."""
        return self._received is not None and self.timeout.when() == self._latest

    async def read_body(self, response: aiohttp.ClientResponse) -> bytes | None:
        """Return the body of the call's answer; None for one over the limit."""
        self._stated = response.content_length
        self._received = 0
        self._extend()
        self._on_answer()
        if (self._stated or 0) > self._limits.body_bytes:
            # An open connection would go on transferring the body.
            response.close()
            return None
        body = bytearray()
        async for part in response.content.iter_any():
            body += part
            self._received = len(body)
            self._extend()
        return bytes(body)

    def describe(self) -> str:
        """Return how much of the answer has arrived."""
        if self._received is None:
            return "did not answer"
        of = "" if self._stated is None else f" of {self._stated}"
        return f"sent {self._received}{of} bytes of its answer"

    def _extend(self) -> None:
        self._active_at = read_clock()
        until = self._active_at + self._limits.answer_seconds
        self.timeout.reschedule(min(self._latest, until))
