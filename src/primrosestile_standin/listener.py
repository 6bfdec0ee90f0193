"""One address on which the stand-in listens, and can stop listening.

A platform that is down refuses connections, which is not the same to a caller as
one that accepts and then fails: nothing was sent. So an outage closes the socket
and cuts what is open, and its end listens on the same port again.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

SHUTDOWN_SECONDS = 0.2
SILENT: web.AppKey[set[Any]] = web.AppKey("silent", set)


class Listener:
    """Serves one application at one address."""

    def __init__(self, app: web.Application, address: str) -> None:
        host, _, port = address.rpartition(":")
        app[SILENT] = set()
        app.middlewares.insert(0, keep_silent)
        self._app = app
        self._host = host
        self._port = int(port)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=SHUTDOWN_SECONDS,
            handler_cancellation=True,
        )
        self._site: web.TCPSite | None = None

    @property
    def address(self) -> str:
        """`ip:port`; the port is known once it has been opened."""
        return f"{self._host}:{self._port}"

    async def open(self) -> None:
        """Listen, if it does not yet."""
        if self._site is not None:
            return
        if self._runner.server is None:
            await self._runner.setup()
        self._site = web.TCPSite(
            self._runner, self._host, self._port, reuse_address=True
        )
        await self._site.start()
        self._port = self._runner.addresses[0][1]

    async def shut(self) -> None:
        """Refuse new connections and cut the open ones."""
        if self._site is None:
            return
        site, self._site = self._site, None
        await site.stop()
        self.cut()

    def cut(self) -> None:
        """Cut every open connection, without an answer."""
        for transport in self.list_transports():
            transport.abort()

    def silence(self) -> None:
        """Let every connection that is open now go silent for good."""
        self._app[SILENT].update(self.list_transports())

    def list_transports(self) -> list[Any]:
        """Return the transports of all open connections."""
        server = self._runner.server
        connections = server.connections if server is not None else []
        transports = [connection.transport for connection in connections]
        return [transport for transport in transports if transport is not None]

    async def close(self) -> None:
        """Stop for good."""
        await self._runner.cleanup()
        self._site = None


@web.middleware
async def keep_silent(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    """Answer nothing on a connection that has gone silent.

    What came before the silence is still done: only its answer is lost.
    """
    if is_silent(request):
        return await hang()
    response = await handler(request)
    if is_silent(request):
        return await hang()
    return response


def is_silent(request: web.Request) -> bool:
    """Return whether nothing more is said on a request's connection."""
    return request.transport in request.app[SILENT]


async def hang() -> web.StreamResponse:
    """Wait until the other end gives the connection up."""
    # The listener cancels a handler whose connection is lost, which ends the wait.
    await asyncio.Event().wait()
    return web.Response(status=500)


def cut_connection(request: web.Request) -> None:
    """Cut a request's connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
