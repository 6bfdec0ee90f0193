"""Sharing of the workers' slots among entries.

A worker serves a few short requests at once, and any entry may send to it. Asking a
coordinator before each request would cost a round trip and fail with the
coordinator. So the owner of a cell grants each entry some slots of each worker for a
few seconds, by demand, and an entry without a fresh grant falls back to a safe share
that all entries compute alike without communication.

What bounds the overshoot:

- Unexpired grants of one owner never exceed a worker's slots: the ledger counts
  every grant until it has lapsed, also one that was never delivered.
- A new owner grants nothing until all grants of its predecessor have lapsed, and
  counts each entry's safe share as granted for one more lifetime.
- An entry that joins gets no grant until all that was granted without it has lapsed.
- An entry whose grant lapsed uses the lesser of that grant and its safe share
  for one more lifetime. When an owner dies, this keeps the sum within the slots.
- The remaining overshoot is that of an entry which its living owner cannot reach, or
  which has just joined: at most its own safe share, until its next grant. The target
  itself refuses requests beyond its slots, as not run.
"""

from collections.abc import Mapping, Sequence

import xxhash

# Three digests of an owner, sent each second, may be lost before an entry falls back
# to its safe share; the slots of a dead entry are idle for no longer than this.
GRANT_SECONDS = 3.0
# Added by the owner for delivery: the entry counts a grant's time from its arrival.
DELIVERY_SECONDS = 1.0
# Bonus for the entry that has a slot already: below one, so it only breaks near ties,
# and avoids opening connections without need.
KEEP_BONUS_SLOTS = 0.5

# A change of an entry's part below this share of an even part changes no grants.
MIN_CHANGE_SHARE = 0.1
# How long after a change held slots may still become free: until the last grant from
# before it has certainly lapsed, and 1 s until the next grants are sent.
SHARING_SETTLE_SECONDS = GRANT_SECONDS + DELIVERY_SECONDS + 1.0

Grants = Mapping[str, Mapping[str, int]]


def rank_entries(worker: str, entries: Sequence[str]) -> list[str]:
    """Return the entries in the order of their rendezvous hashes for the worker.

    Each process computes the same order, and when an entry joins or leaves the
    others keep their relative order.
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

    The shares of entries with the same list of entries sum to each worker's slots.
    With more entries than slots, a worker's slots go to as many entries, one each,
    which also bounds the connections of a worker as the fleet grows.
    """
    return {
        worker: share_one_safely(worker, count, entries, self_name)
        for worker, count in slots.items()
    }


def count_needs(
    slots: Mapping[str, int], demand: Mapping[str, int], in_flight: Grants
) -> dict[str, int]:
    """Return how many requests each entry has queued or running.

    An entry whose queue is empty because its slots suffice needs those slots; with
    its queue alone as demand it would alternately lose and regain them.
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
    """Return each entry's max-min fair part of the slots.

    Slots that no entry needs are divided evenly, so that an idle entry can start a
    request at once.
    """
    parts = dict.fromkeys(demand, 0.0)
    left = float(total)
    by_need = sorted(demand, key=lambda entry: demand[entry])
    for position, entry in enumerate(by_need):
        fair = left / (len(by_need) - position)
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

    For demand that the load balancer spreads unevenly: an entry with a bulk sender
    must not queue requests while the slots of others are idle. A worker must not be
    sent more than its slots, so no slot is taken from an entry that uses it, or holds
    it by a grant that has not lapsed.

    Args:
        slots: Of each usable worker.
        needs: Requests that each entry has queued or running.
        in_flight: Running requests that keep their slots, by entry and worker.
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
    """Return each entry's slots on a worker that cannot be given to others."""
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
    """Assign one worker's slots one by one to the entry with the most credit."""
    free = count - sum(reserved.values())
    given = dict.fromkeys(credit, 0)
    for _ in range(count):
        best, best_credit = "", float("-inf")
        for entry, entry_credit in credit.items():
            has_own = reserved.get(entry, 0) > given[entry]
            if not has_own and free <= 0:
                continue
            entry_credit += KEEP_BONUS_SLOTS if has_own else 0.0
            if entry_credit > best_credit:
                best, best_credit = entry, entry_credit
        if not best or best_credit <= -1.0:
            break
        if reserved.get(best, 0) <= given[best]:
            free -= 1
        given[best] += 1
        credit[best] -= 1.0
    return given


class GrantLedger:
    """The grants of a cell's owner that may not have lapsed yet."""

    def __init__(self, no_grants_until: float) -> None:
        self._no_grants_until = no_grants_until
        self._safe_shares_counted = False
        self._latest: dict[str, dict[str, int]] = {}
        # By entry that joined: until when no grant is sent to it.
        self._withheld_until: dict[str, float] = {}
        self._shared_slots: dict[str, int] = {}
        self._settled_needs: Mapping[str, int] = {}
        self._changed_at = 0.0
        # By entry and worker: (when it has certainly lapsed, slots).
        self._granted: dict[str, dict[str, list[tuple[float, int]]]] = {}

    def grant(
        self,
        slots: Mapping[str, int],
        demand: Mapping[str, int],
        in_flight: Grants,
        now: float,
    ) -> dict[str, dict[str, int]]:
        """Return the grants to send now, each valid for `GRANT_SECONDS`.

        An entry without a grant uses its safe share.

        Args:
            slots: Of each usable worker of the cell.
            demand: Requests that wait at each live entry; a missing entry gets no
                slots.
            in_flight: By entry and worker.
            now: Seconds of the loop's clock.
        """
        if now < self._no_grants_until:
            return {}
        if not self._safe_shares_counted:
            self._safe_shares_counted = True
            self._count_safe_shares(slots, demand, now)
        else:
            self._note_joined(demand, now)
        needs = count_needs(slots, demand, in_flight)
        if self._must_recompute_shares(slots, needs, now):
            self._latest = self._share(slots, in_flight, now)
        sent = {
            entry: shares
            for entry, shares in self._latest.items()
            if entry not in self._withheld_until
        }
        self._note(sent, now)
        return sent

    def _share(
        self, slots: Mapping[str, int], in_flight: Grants, now: float
    ) -> dict[str, dict[str, int]]:
        """Return the shares of all entries, including those withheld.

        It uses the needs of the last significant change. With the latest needs,
        parts would differ by one slot each second, on changing workers, and slots
        that become free would stay held.

        Requests running under a safe share keep no slot, for the same reason: they
        change workers, and so would the slots that other entries hold.
        """
        kept = {
            entry: by_worker
            for entry, by_worker in in_flight.items()
            if entry not in self._withheld_until
        }
        return share_slots(slots, self._settled_needs, kept, self.count_held(now))

    def _note_joined(self, demand: Mapping[str, int], now: float) -> None:
        """Withhold grants from an entry that joins until slots become free for it.

        For a VM that is replaced or added while all slots are granted to the other
        entries, which hold them until their grants lapse. With a grant of no slots
        the new entry would refuse every request until then ("it would start in
        5.0 s") beside idle workers. The others receive their smaller grants within a
        second, so only for that long may a worker be sent more requests than it has
        slots, and those that it refuses are retried elsewhere.
        """
        self._withheld_until = {
            entry: until
            for entry, until in self._withheld_until.items()
            if entry in demand and now < until
        }
        joined = demand.keys() - self._latest.keys()
        if joined and self.count_held(now).keys() - joined:
            until = now + GRANT_SECONDS + DELIVERY_SECONDS
            self._withheld_until.update(dict.fromkeys(joined, until))

    def _must_recompute_shares(
        self, slots: Mapping[str, int], needs: Mapping[str, int], now: float
    ) -> bool:
        """Whether to recompute the shares, or only renew the grants.

        For thousands of workers: recomputing all shares each second would cost more
        than a fortieth of a core. It continues while demand changes, and until the
        grants held from before a change have lapsed.
        """
        if dict(slots) != self._shared_slots or needs.keys() != self._latest.keys():
            self._shared_slots = dict(slots)
            self._settled_needs = needs
            self._changed_at = now
            return True
        total = sum(slots.values())
        wanted = divide_by_demand(total, needs)
        before = divide_by_demand(total, self._settled_needs)
        tolerance = max(1.0, MIN_CHANGE_SHARE * total / max(1, len(needs)))
        if any(abs(wanted[entry] - before[entry]) > tolerance for entry in wanted):
            self._settled_needs = needs
            self._changed_at = now
            return True
        return now <= self._changed_at + SHARING_SETTLE_SECONDS

    def count_held(self, now: float) -> dict[str, dict[str, int]]:
        """Return the most that each entry may still hold, by entry and worker."""
        held: dict[str, dict[str, int]] = {}
        for entry, by_worker in list(self._granted.items()):
            for worker, grants in list(by_worker.items()):
                unexpired = [grant for grant in grants if grant[0] > now]
                if unexpired:
                    by_worker[worker] = unexpired
                    largest = max(count for _, count in unexpired)
                    held.setdefault(entry, {})[worker] = largest
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
                    # Earlier grants of no more slots are covered by this one.
                    older = [each for each in kept.get(worker, ()) if each[1] > count]
                    kept[worker] = [*older, (until, count)]


def make_grant_ledger(now: float, took_over: bool = True) -> GrantLedger:
    """Return the ledger of a new owner.

    Args:
        now: Seconds of the loop's clock.
        took_over: Whether another owner may have granted slots until now.
    """
    delay = GRANT_SECONDS + DELIVERY_SECONDS if took_over else 0.0
    return GrantLedger(now + delay)
