"""Compare-and-swap that settles a write whose answer was lost.

The store may carry out a write and lose its answer. A job could then be accepted twice,
or an owner give up a cell that it holds. So the key is read again: if it holds exactly
the value that was sent, the write took effect. Every value written here is unique to
its writer (a token, an epoch or a time in it), so another's write is not mistaken for
one's own.
"""

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Entry, Store, SwapResult

# Each further try means that one more answer was lost; a store that loses four in a row
# is treated as down, and the caller is told so.
SETTLE_TRIES = 4


def _revision_of(entry: Entry | None) -> int:
    return entry.mod_revision if entry is not None else 0


async def put_settled(
    store: Store, key: str, value: bytes, expected: int, lease: int = 0
) -> SwapResult:
    """Write if the key's revision is `expected`, and find out whether it was written.

    LOST_WRITE_NOT_DISPROVED: a write whose answer was lost may still be in flight and
    arrive after a read that does not show it. So after a lost answer the outcome is
    either found in the store or unknown, never "not written".

    Raises:
        Failure: STORE_UNAVAILABLE when nothing was written; STORE_ANSWER_LOST
            when that could not be found out.
    """
    lost = False
    for _ in range(SETTLE_TRIES):
        try:
            swap = await store.put(key, value, expected, lease)
            return _recognise(swap, value) if lost else swap
        except Failure as failure:
            if failure.kind is not ErrorKind.STORE_ANSWER_LOST:
                raise _as_lost(failure, key) if lost else failure from failure
        lost = True
        current = await _read_again(store, key)
        if current is not None and current.value == value:
            return SwapResult(True, current.mod_revision)
        if _revision_of(current) != expected:
            return SwapResult(False, _revision_of(current), current)
    raise Failure(ErrorKind.STORE_ANSWER_LOST, f"{key} could not be settled")


def _recognise(swap: SwapResult, value: bytes) -> SwapResult:
    """Treat a swap that failed against one's own earlier try as done."""
    current = swap.current
    if not swap.done and current is not None and current.value == value:
        return SwapResult(True, current.mod_revision)
    return swap


def _as_lost(failure: Failure, key: str) -> Failure:
    return Failure(ErrorKind.STORE_ANSWER_LOST, f"{key}: {failure.detail}")


async def _read_again(store: Store, key: str) -> Entry | None:
    """Read after a lost answer; a read that fails leaves the write unknown."""
    try:
        return await store.get(key)
    except Failure as failure:
        raise _as_lost(failure, key) from failure


async def delete_settled(store: Store, key: str, expected: int) -> bool:
    """Remove if the key's revision is `expected`; return whether it is gone."""
    lost = False
    for _ in range(SETTLE_TRIES):
        try:
            return (await store.delete(key, expected)).done
        except Failure as failure:
            if failure.kind is not ErrorKind.STORE_ANSWER_LOST:
                raise _as_lost(failure, key) if lost else failure from failure
        lost = True
        current = await _read_again(store, key)
        if current is None:
            return True
        if current.mod_revision != expected:
            return False
    raise Failure(ErrorKind.STORE_ANSWER_LOST, f"{key} could not be settled")


async def list_all(store: Store, prefix: str) -> tuple[list[Entry], int]:
    """Return every entry under a prefix, page by page, and a revision.

    The revision is the first page's: a watch from there on repeats what later
    pages already show, which is harmless, and misses nothing.
    """
    page = await store.list(prefix)
    entries = list(page.entries)
    revision = page.revision
    while page.more:
        page = await store.list(prefix, after=entries[-1].key)
        entries += page.entries
    return entries, revision
