"""The platform's VM list over HTTP."""

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.workers import ListedVm
from primrosestile.state.decoding import Undecodable, decode_json
from primrosestile.transport.connections import Connections, FailureKinds

VMS_PATH = "/vms"
READ_TIMEOUT_SECONDS = 2.0
# A read has no effect, so a failed one counts as not run.
_KINDS = FailureKinds(ErrorKind.NO_TARGET, ErrorKind.NO_TARGET)


def make_vm_list(address: str, timeout: float = READ_TIMEOUT_SECONDS) -> "HttpVmList":
    """Return the adapter to the VM list at `ip:port`."""
    return HttpVmList(address, timeout, Connections())


class HttpVmList:
    """Implements `protocol.workers.VmList`."""

    def __init__(self, address: str, timeout: float, connections: Connections) -> None:
        self._address = address
        self._timeout = timeout
        self._connections = connections

    async def read(self) -> tuple[ListedVm, ...]:
        """Return the VMs that are listed as live or leaving.

        Raises:
            Failure: NO_TARGET when the list does not answer; the previous answer
                stays valid until it does.
        """
        reply = await self._connections.call(
            self._address, VMS_PATH, b"", self._timeout, _KINDS, method="GET"
        )
        try:
            if reply.status == 200:
                return decode_json(reply.body, tuple[ListedVm, ...])
        except Undecodable as fault:
            raise Failure(ErrorKind.NO_TARGET, f"unreadable VM list: {fault}") from None
        raise Failure(ErrorKind.NO_TARGET, f"the VM list answers {reply.status}")

    async def close(self) -> None:
        """Close every connection."""
        await self._connections.close()
