"""A listener whose socket can be closed and opened again, to simulate outages.

A platform that is down refuses connections, so that a caller knows that nothing was
sent; one that accepts and then fails does not tell that. So an outage closes the
socket and all connections, and its end opens the same port again.
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
        """`ip:port`; a port of 0 is replaced once the socket is open."""
        return f"{self._host}:{self._port}"

    async def open(self) -> None:
        """Start listening; does nothing if it already listens."""
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
        """Refuse new connections and close the open ones."""
        if self._site is None:
            return
        site, self._site = self._site, None
        await site.stop()
        self.cut()

    def cut(self) -> None:
        """Abort every open connection without an answer."""
        for transport in self.list_transports():
            transport.abort()

    def silence(self) -> None:
        """Silence every open connection permanently."""
        self._app[SILENT].update(self.list_transports())

    def list_transports(self) -> list[Any]:
        """Return the transports of all open connections."""
        server = self._runner.server
        connections = server.connections if server is not None else []
        transports = [connection.transport for connection in connections]
        return [transport for transport in transports if transport is not None]

    async def close(self) -> None:
        """Stop listening permanently."""
        await self._runner.cleanup()
        self._site = None


@web.middleware
async def keep_silent(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    """Send no answer on a silent connection.

    A request from before the silence still takes effect; only its answer is lost.
    """
    if is_silent(request):
        return await hang()
    response = await handler(request)
    if is_silent(request):
        return await hang()
    return response


def is_silent(request: web.Request) -> bool:
    """Return whether a request's connection is silent."""
    return request.transport in request.app[SILENT]


async def hang() -> web.StreamResponse:
    """Wait until the peer closes the connection."""
    # The listener cancels a handler whose connection is lost, which ends the wait.
    await asyncio.Event().wait()
    return web.Response(status=500)


def cut_connection(request: web.Request) -> None:
    """Abort a request's connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
