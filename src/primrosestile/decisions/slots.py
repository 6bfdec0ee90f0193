"""How the slots of workers are shared among entries.

A worker serves a few short requests at once, and any entry may send to it. To
ask somebody before each request would cost a round trip and fail with whoever
is asked. So the owner of a cell grants each entry some slots of each worker for
a few seconds, by demand, and an entry that has no fresh grant falls back to a
share that all entries work out alike without a word between them.

What bounds the overshoot:

- Unexpired grants of one owner never exceed a worker's slots: the ledger counts
  every grant until it has lapsed, also one that was never delivered.
- A new owner grants nothing until all grants of the one before have lapsed, and
  counts each entry's safe share as granted for one more lifetime.
- An entry that joins is told of no grant until all that was granted without it has
  lapsed.
- An entry whose grant lapsed uses the lesser of that grant and its safe share
  for one more lifetime. When an owner dies, this keeps the sum within the slots.
- What remains is an entry that its living owner can not reach, or that joined a
  moment ago: at most its own safe share, until it is granted again. The target
  itself refuses what exceeds its slots, as not run.
"""

from collections.abc import Mapping, Sequence

import xxhash

# How long a grant holds. Three digests of an owner, sent each second, may be
# lost before an entry falls back; a dead entry's slots are idle no longer.
GRANT_SECONDS = 3.0
# Added by the owner for the way to the entry, which counts from the arrival.
DELIVERY_SECONDS = 1.0
# Weight of keeping a slot with the entry that has it: less than one slot, so it
# decides between near equals and connections are not opened without need.
KEEP_BONUS = 0.5

# A change of an entry's part by less than this share of an even part moves nothing.
STEADY_SHARE = 0.1
# How long after a change slots that were held may still come free: until the last
# grant from before it has lapsed for certain, and one round more.
SETTLE_SECONDS = GRANT_SECONDS + DELIVERY_SECONDS + 1.0

Grants = Mapping[str, Mapping[str, int]]


def rank_entries(worker: str, entries: Sequence[str]) -> list[str]:
    """Return the entries in an order that is particular to the worker.

    Rendezvous hashing: each process gets the same order, and when an entry comes
    or goes the others keep their places relative to one another.
    """
    seed = xxhash.xxh64_intdigest(worker.encode())
    return sorted(
        entries,
        key=lambda entry: (xxhash.xxh64_intdigest(entry.encode(), seed), entry),
    )


def share_one_safely(
    worker: str, slots: int, entries: Sequence[str], self_name: str
) -> int:
    """Return how many slots of one worker the entry may use without a grant."""
    if self_name not in entries:
        return 0
    each, rest = divmod(slots, len(entries))
    if rest == 0:
        return each
    return each + (self_name in rank_entries(worker, entries)[:rest])


def share_safely(
    slots: Mapping[str, int], entries: Sequence[str], self_name: str
) -> dict[str, int]:
    """Return the slots that an entry may use without a grant, by worker.

    The sum over entries that know the same entries is each worker's slots. With
    more entries than slots, a worker's slots go to as many entries, one each:
    this is also what bounds the connections of a worker as the fleet grows.
    """
    return {
        worker: share_one_safely(worker, count, entries, self_name)
        for worker, count in slots.items()
    }


def count_needs(
    slots: Mapping[str, int], demand: Mapping[str, int], in_flight: Grants
) -> dict[str, int]:
    """Return what each entry could have running now: what waits, and what runs.

    An entry whose queue is empty because its slots suffice needs those slots;
    counted by its queue alone it would lose them and get them back in turns.
    """
    return {
        entry: waiting
        + sum(
            count
            for worker, count in in_flight.get(entry, {}).items()
            if worker in slots
        )
        for entry, waiting in demand.items()
    }


def divide_by_demand(total: int, demand: Mapping[str, int]) -> dict[str, float]:
    """Return each entry's part of the slots: what it needs, at most its fair share.

    What nobody needs is divided evenly, so that an entry that has been quiet can
    start a request at once.
    """
    parts = dict.fromkeys(demand, 0.0)
    left = float(total)
    hungry = sorted(demand, key=lambda entry: demand[entry])
    for position, entry in enumerate(hungry):
        fair = left / (len(hungry) - position)
        parts[entry] = min(float(max(0, demand[entry])), fair)
        left -= parts[entry]
    for entry in parts:
        parts[entry] += left / len(parts)
    return parts


def share_slots(
    slots: Mapping[str, int],
    needs: Mapping[str, int],
    in_flight: Grants,
    held: Grants | None = None,
) -> dict[str, dict[str, int]]:
    """Return the slots that each entry may use, by entry and worker.

    Made for demand that the balancer spreads unevenly: one entry with a bulk
    sender must not queue while the slots of others idle. The harm prevented is a
    worker that is sent more than its slots. No slot is taken from an entry that
    has it in use, or holds it by a grant that has not lapsed.

    Args:
        slots: Of each usable worker.
        needs: What each entry could have running.
        in_flight: What runs and keeps its slots, by entry and worker.
        held: Unexpired grants, by entry and worker.
    """
    shares: dict[str, dict[str, int]] = {entry: {} for entry in needs}
    total = sum(slots.values())
    if not needs or total <= 0:
        return shares
    parts = divide_by_demand(total, needs)
    credit = {
        entry: xxhash.xxh32_intdigest(entry.encode()) / 2**32 * 1e-3 for entry in parts
    }
    for worker, count in sorted(slots.items()):
        for entry, part in parts.items():
            credit[entry] += part * count / total
        reserved = _reserve(worker, count, in_flight, held or {})
        for entry, given in _share_worker(count, reserved, credit).items():
            shares[entry][worker] = given
    return shares


def _reserve(
    worker: str, count: int, in_flight: Grants, held: Grants
) -> dict[str, int]:
    """Return what can not be given to others on this worker."""
    reserved: dict[str, int] = {}
    free = count
    for entry, by_worker in sorted(held.items()):
        reserved[entry] = min(free, by_worker.get(worker, 0))
        free -= reserved[entry]
    for entry, by_worker in sorted(in_flight.items()):
        already = reserved.get(entry, 0)
        more = min(free, max(0, by_worker.get(worker, 0) - already))
        reserved[entry] = already + more
        free -= more
    return reserved


def _share_worker(
    count: int, reserved: Mapping[str, int], credit: dict[str, float]
) -> dict[str, int]:
    """Give out one worker's slots one by one to whom most is due."""
    free = count - sum(reserved.values())
    given = dict.fromkeys(credit, 0)
    for _ in range(count):
        best, best_due = "", float("-inf")
        for entry, due in credit.items():
            has_own = reserved.get(entry, 0) > given[entry]
            if not has_own and free <= 0:
                continue
            due += KEEP_BONUS if has_own else 0.0
            if due > best_due:
                best, best_due = entry, due
        if not best or best_due <= -1.0:
            break
        if reserved.get(best, 0) <= given[best]:
            free -= 1
        given[best] += 1
        credit[best] -= 1.0
    return given


class GrantLedger:
    """What the owner of a cell has granted and must still count."""

    def __init__(self, quiet_until: float) -> None:
        self._quiet_until = quiet_until
        self._settled = False
        self._latest: dict[str, dict[str, int]] = {}
        # By entry that joined: until when it is told of no grant.
        self._untold_until: dict[str, float] = {}
        self._shared_slots: dict[str, int] = {}
        self._settled_needs: Mapping[str, int] = {}
        self._changed_at = 0.0
        # By entry and worker: (when it lapses for certain, slots).
        self._granted: dict[str, dict[str, list[tuple[float, int]]]] = {}

    def grant(
        self,
        slots: Mapping[str, int],
        demand: Mapping[str, int],
        in_flight: Grants,
        now: float,
    ) -> dict[str, dict[str, int]]:
        """Return the grants to send now, each valid for `GRANT_SECONDS`.

        An entry that is not among them is to use its safe share.

        Args:
            slots: Of each usable worker of the cell.
            demand: Requests that wait at each live entry; an entry left out gets
                nothing.
            in_flight: By entry and worker.
            now: Seconds of the loop's clock.
        """
        if now < self._quiet_until:
            return {}
        if not self._settled:
            self._settled = True
            self._count_safe_shares(slots, demand, now)
        else:
            self._note_joined(demand, now)
        needs = count_needs(slots, demand, in_flight)
        if self._must_share_anew(slots, needs, now):
            self._latest = self._share(slots, in_flight, now)
        told = {
            entry: shares
            for entry, shares in self._latest.items()
            if entry not in self._untold_until
        }
        self._note(told, now)
        return told

    def _share(
        self, slots: Mapping[str, int], in_flight: Grants, now: float
    ) -> dict[str, dict[str, int]]:
        """Return the shares of all entries, also of those that are not told yet.

        Needs are taken as they were at the last change. Followed to the last
        request, parts would differ by one slot each second, now on this worker and
        now on that, and slots that come free would stay held.

        What runs under a safe share keeps no slot, for the same reason: it moves
        from worker to worker, and what others hold would move with it.
        """
        kept = {
            entry: by_worker
            for entry, by_worker in in_flight.items()
            if entry not in self._untold_until
        }
        return share_slots(slots, self._settled_needs, kept, self.count_held(now))

    def _note_joined(self, demand: Mapping[str, int], now: float) -> None:
        """Leave an entry that joins to its safe share until slots come free for it.

        Made for a VM that is replaced, or added, when all slots are granted to the
        other entries. They hold these until their grants lapse. Told that its part
        is none, the new entry would refuse every request until then ("it would
        start in 5.0 s") beside idle workers. The others hear within a second that
        their parts have shrunk, so only for that long may more be sent to a worker
        than it has slots, and what it refuses is tried elsewhere.
        """
        self._untold_until = {
            entry: until
            for entry, until in self._untold_until.items()
            if entry in demand and now < until
        }
        joined = demand.keys() - self._latest.keys()
        if joined and self.count_held(now).keys() - joined:
            until = now + GRANT_SECONDS + DELIVERY_SECONDS
            self._untold_until.update(dict.fromkeys(joined, until))

    def _must_share_anew(
        self, slots: Mapping[str, int], needs: Mapping[str, int], now: float
    ) -> bool:
        """Whether the grants have to change, or can just be renewed.

        Made for thousands of workers: to share them all anew each second would
        cost more than a fortieth of a core. While held grants still hide a
        change that was asked for, and while demand moves, sharing goes on.
        """
        if dict(slots) != self._shared_slots or needs.keys() != self._latest.keys():
            self._shared_slots = dict(slots)
            self._settled_needs = needs
            self._changed_at = now
            return True
        total = sum(slots.values())
        wanted = divide_by_demand(total, needs)
        before = divide_by_demand(total, self._settled_needs)
        leeway = max(1.0, STEADY_SHARE * total / max(1, len(needs)))
        if any(abs(wanted[entry] - before[entry]) > leeway for entry in wanted):
            self._settled_needs = needs
            self._changed_at = now
            return True
        return now <= self._changed_at + SETTLE_SECONDS

    def count_held(self, now: float) -> dict[str, dict[str, int]]:
        """Return the most that each entry may still hold, by entry and worker."""
        held: dict[str, dict[str, int]] = {}
        for entry, by_worker in list(self._granted.items()):
            for worker, grants in list(by_worker.items()):
                alive = [grant for grant in grants if grant[0] > now]
                if alive:
                    by_worker[worker] = alive
                    most = max(count for _, count in alive)
                    held.setdefault(entry, {})[worker] = most
                else:
                    del by_worker[worker]
            if not by_worker:
                del self._granted[entry]
        return held

    def _count_safe_shares(
        self, slots: Mapping[str, int], demand: Mapping[str, int], now: float
    ) -> None:
        entries = sorted(demand)
        safe = {entry: share_safely(slots, entries, entry) for entry in entries}
        self._note(safe, now)

    def _note(self, shares: Grants, now: float) -> None:
        until = now + GRANT_SECONDS + DELIVERY_SECONDS
        for entry, by_worker in shares.items():
            kept = self._granted.setdefault(entry, {})
            for worker, count in by_worker.items():
                if count > 0:
                    # A later and larger grant covers all that came before it.
                    older = [each for each in kept.get(worker, ()) if each[1] > count]
                    kept[worker] = [*older, (until, count)]


def make_grant_ledger(now: float, took_over: bool = True) -> GrantLedger:
    """Return the ledger of a new owner.

    Args:
        now: Seconds of the loop's clock.
        took_over: Whether another owner may have granted slots until now.
    """
    quiet = GRANT_SECONDS + DELIVERY_SECONDS if took_over else 0.0
    return GrantLedger(now + quiet)
