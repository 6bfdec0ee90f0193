"""A long answer read line by line, given up when it goes silent.

A stream whose other end has forgotten it looks like one on which nothing happens.
A process would go on with old settings and never notice. The sender says
something within a known time even when there is no news, so longer silence means
that the stream is dead.
"""

from collections.abc import AsyncIterator

import aiohttp


async def read_lines(
    url: str, body: bytes, silence_bound: float
) -> AsyncIterator[bytes]:
    """Yield the lines of an answer until it ends.

    Args:
        url: Where to send the body by POST.
        body: The JSON that opens the stream.
        silence_bound: Most seconds from one piece of the answer to the next.

    Raises:
        TimeoutError: When it was silent for longer.
        aiohttp.ClientError: When it could not be opened, broke or ended.
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
        async for piece in response.content.iter_any():
            *lines, rest = (rest + piece).split(b"\n")
            for line in lines:
                if line:
                    yield line
    raise aiohttp.ClientPayloadError("the stream ended")
