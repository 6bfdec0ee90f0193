"""Reads a streamed answer line by line and detects a dead stream.

A half-open stream looks like one without events, and a process would keep outdated
settings without an error. The sender writes heartbeats at a known interval, so a
longer silence means that the stream is dead.
"""

from collections.abc import AsyncIterator

import aiohttp


async def read_lines(
    url: str, body: bytes, silence_bound: float
) -> AsyncIterator[bytes]:
    """Yield the lines of an answer until it ends.

    Args:
        url: Receives the body by POST.
        body: The JSON that opens the stream.
        silence_bound: Maximum seconds between two chunks of the answer.

    Raises:
        TimeoutError: When the stream was silent for longer.
        aiohttp.ClientError: When the stream could not be opened, broke or ended.
    """
    timeout = aiohttp.ClientTimeout(
        total=None, sock_connect=silence_bound, sock_read=silence_bound
    )
    connector = aiohttp.TCPConnector(force_close=True)
    async with (
        aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
        session.post(url, data=body) as response,
    ):
        response.raise_for_status()
        rest = b""
        async for chunk in response.content.iter_any():
            *lines, rest = (rest + chunk).split(b"\n")
            for line in lines:
                if line:
                    yield line
    raise aiohttp.ClientPayloadError("the stream ended")
