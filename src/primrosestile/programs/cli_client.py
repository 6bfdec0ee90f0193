"""Calls from the command line to a steward or an entry.

The token is read from the environment or a file and never from an argument, because
arguments are visible to every user of the machine and stay in the shell history.
"""

import asyncio
import os
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from primrosestile.decisions.settings_check import Fault
from primrosestile.errors import ErrorKind, Failure
from primrosestile.programs.answers import REQUEST_ID_HEADER
from primrosestile.programs.cli_output import (
    CommandFailure,
    ErrorBody,
    print_result,
    run_command,
)
from primrosestile.state.decoding import Undecodable, decode_json
from primrosestile.transport.connections import Connections, FailureKinds, Reply
from primrosestile.transport.wire import encode_json

TOKEN_VARIABLE = "PRIMROSESTILE_TOKEN"
CALL_TIMEOUT_SECONDS = 15.0
MIN_ERROR_STATUS = 400
READ_METHODS = ("GET",)

T = TypeVar("T")


class Client:
    """A client of one steward or entry, for the duration of one command."""

    def __init__(self, address: str, token: str) -> None:
        self._address = address
        self._token = token
        self._connections = Connections()

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        request_id: str = "",
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> Any:
        """Send one call and return the decoded JSON of its answer.

        Raises:
            CommandFailure: The server refused the call.
            Failure: NO_TARGET when nothing was sent, OUTCOME_UNKNOWN when a
                change was sent and not answered.
        """
        lost = (
            ErrorKind.NO_TARGET if method in READ_METHODS else ErrorKind.OUTCOME_UNKNOWN
        )
        headers = {"Content-Type": "application/json"}
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        if request_id:
            headers[REQUEST_ID_HEADER] = request_id
        reply = await self._connections.call(
            self._address,
            path,
            b"" if body is None else encode_json(body),
            timeout,
            FailureKinds(ErrorKind.NO_TARGET, lost),
            headers=headers,
            method=method,
        )
        return _read_reply(reply, self._address)

    async def close(self) -> None:
        """Close the connections."""
        await self._connections.close()


def _read_reply(reply: Reply, address: str) -> Any:
    try:
        if reply.status < MIN_ERROR_STATUS:
            return decode_json(reply.body or b"null")
        body = decode_json(reply.body, ErrorBody)
        faults = decode_json(reply.body).get("faults", ())
        raise CommandFailure(body, msgspec.convert(faults, tuple[Fault, ...]))
    except Undecodable:
        detail = f"{address} answered {reply.status} with an unknown body"
        kind = ErrorKind.NOT_FOUND if reply.status == 404 else ErrorKind.INTERNAL
        raise Failure(kind, detail) from None


def read_token(file: Path | None) -> str:
    """Return the token from a file or the environment; empty when none is set.

    Raises:
        Failure: MALFORMED when the file can't be read, or holds more than a token.
    """
    if file is None:
        token = os.environ.get(TOKEN_VARIABLE, "").strip()
    else:
        token = read_file(file).decode(errors="replace").strip()
    if not (token.isascii() and token.isprintable()) or " " in token:
        # A header can't carry it. The text is not repeated: it may be a secret.
        source = TOKEN_VARIABLE if file is None else str(file)
        raise Failure(ErrorKind.MALFORMED, f"{source} does not hold one plain token")
    return token


def read_file(file: Path) -> bytes:
    """Return a file's content.

    Raises:
        Failure: MALFORMED when it can't be read.
    """
    try:
        return file.read_bytes()
    except OSError as error:
        raise Failure(ErrorKind.MALFORMED, f"{file}: {error.strerror}") from error


def run_client(
    address: str, token_file: Path | None, work: Callable[[Client], Awaitable[T]]
) -> T:
    """Run the calls of one command and return their result."""

    async def run() -> T:
        client = Client(address, read_token(token_file))
        try:
            return await work(client)
        finally:
            await client.close()

    return asyncio.run(run())


def call_once(
    address: str, token_file: Path | None, path: str, method: str = "GET"
) -> Any:
    """Run a command that consists of one call without a body; return its answer."""
    return run_client(address, token_file, lambda client: client.call(method, path))


def show_answer(
    address: str,
    token_file: Path | None,
    path: str,
    describe: Callable[[Any], Iterable[str]],
    as_json: bool,
    method: str = "GET",
) -> None:
    """Run a command that prints the answer to one call, as JSON or as text."""

    def work() -> None:
        found = call_once(address, token_file, path, method)
        print_result(found, as_json, describe)

    run_command(work, as_json)
