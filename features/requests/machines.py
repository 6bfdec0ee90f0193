"""Hypothesis state machines that check the decisions against simple oracles."""

from typing import Any

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from primrosestile.decisions.admission import (
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
)
from primrosestile.decisions.capacity import LEAVING_SECONDS
from primrosestile.decisions.request_queue import QueuedRequest, Refusal, make_queue
from primrosestile.decisions.routing import Outcome, make_router
from primrosestile.decisions.slots import (
    DELIVERY_SECONDS,
    GRANT_SECONDS,
    make_grant_ledger,
    share_safely,
)
from primrosestile.errors import ANSWERS, Ran
from primrosestile.state.tenancy import Policy, Urgency

LIMIT = 24
WORKERS = {"worker-a": 2, "worker-b": 3}
CELL = {"worker-a": 2, "worker-b": 6, "worker-c": 1}
ENTRIES = ("entry-1", "entry-2", "entry-3")
workers = st.sampled_from(sorted(WORKERS))


class RequestMachine(RuleBasedStateMachine):
    """One entry's queue and router; the oracle tracks where each request is."""

    def __init__(self) -> None:
        super().__init__()
        policy = Policy(queue_limit=LIMIT)
        self.now = 0.0
        self.queue = make_queue(policy)
        self.router = make_router("entry-1", policy)
        self.router.set_entries(ENTRIES[:2])
        self.router.set_targets(WORKERS, frozenset(), self.now)
        self.made = 0
        self.waiting: dict[str, QueuedRequest] = {}
        self.running: list[tuple[str, QueuedRequest]] = []
        self.answered: dict[str, str] = {}
        self.listed_leaving: frozenset[str] = frozenset()
        self.said_leaving: dict[str, float] = {}
        self.safe = share_safely(WORKERS, ENTRIES[:2], "entry-1")
        self.granted = dict(WORKERS)
        self.granted_until = 0.0
        self.was_paused = False

    def answer(self, waiting: QueuedRequest, how: str) -> None:
        assert waiting.request_id not in self.answered, "answered twice"
        self.answered[waiting.request_id] = how

    def check_refusal(self, refusal: Refusal) -> None:
        assert ANSWERS[refusal.kind].ran is Ran.NOT_RUN
        assert MIN_RETRY_AFTER_SECONDS <= refusal.retry_after <= MAX_RETRY_AFTER_SECONDS

    @rule(
        organisation=st.sampled_from("ab"),
        job_class=st.sampled_from("xy"),
        urgency=st.sampled_from(Urgency),
        idempotent=st.booleans(),
        patience=st.floats(0.0, 20.0),
        expected=st.floats(0.01, 50.0),
        count=st.integers(1, 8),
    )
    def arrive(
        self,
        organisation: str,
        job_class: str,
        urgency: Urgency,
        idempotent: bool,
        patience: float,
        expected: float,
        count: int,
    ) -> None:
        for _ in range(count):
            self.made += 1
            waiting = QueuedRequest(
                request_id=f"r{self.made}",
                organisation=organisation,
                team=organisation,
                job_class=job_class,
                urgency=urgency,
                idempotent=idempotent,
                arrived_at=self.now,
                deadline=self.now + patience,
                expected_seconds=expected,
            )
            refusal = self.queue.offer(waiting, self.now)
            if refusal is None:
                self.waiting[waiting.request_id] = waiting
            else:
                self.check_refusal(refusal)
                self.answer(waiting, "refused")

    @rule()
    def serve(self) -> None:
        self.queue.set_slots(self.router.count_slots(self.now))
        chosen: list[str] = []

        def accept(waiting: QueuedRequest) -> bool:
            target = self.router.choose(waiting, self.now)
            chosen.append(target or "")
            return target is not None

        while waiting := self.queue.take(self.now, accept):
            target = chosen[-1]
            self.check_target(target)
            assert self.waiting.pop(waiting.request_id) is waiting
            assert waiting.deadline >= self.now
            self.router.start(target, waiting, self.now)
            self.running.append((target, waiting))
        # Collects requests that `take` found to be too late, as an entry does.
        if self.queue.next_check(self.now) == self.now:
            self.remove_late()
        for waiting in self.list_heads():
            assert self.router.choose(waiting, self.now) is None, "left waiting"

    def list_heads(self) -> list[QueuedRequest]:
        """Return the oldest waiting request of each class.

        A class keeps its order: a request that could start now stays behind a longer
        one that may not take the last slot.
        """
        heads: dict[tuple[str, str, Urgency], QueuedRequest] = {}
        for waiting in self.waiting.values():
            key = (waiting.organisation, waiting.job_class, waiting.urgency)
            heads.setdefault(key, waiting)
        return list(heads.values())

    def check_target(self, target: str) -> None:
        assert target not in self.listed_leaving
        assert self.said_leaving.get(target, 0.0) <= self.now
        used = sum(each == target for each, _ in self.running)
        fresh = self.now < self.granted_until
        allowed = (self.granted if fresh else self.safe).get(target, 0)
        assert used < min(allowed, WORKERS[target])

    @precondition(lambda self: self.running)
    @rule(
        data=st.data(),
        outcome=st.sampled_from(Outcome),
        seconds=st.floats(0.001, 30.0),
    )
    def finish(self, data: Any, outcome: Outcome, seconds: float) -> None:
        place = data.draw(st.integers(0, len(self.running) - 1))
        target, waiting = self.running.pop(place)
        self.router.finish(target, waiting, outcome, seconds, self.now)
        if outcome is Outcome.LEAVING:
            self.said_leaving[target] = self.now + LEAVING_SECONDS
        if outcome is Outcome.OK:
            self.queue.note_served(waiting, seconds, self.now)
        if outcome is Outcome.REFUSED and self.router.may_retry(waiting, self.now):
            refusal = self.queue.offer(waiting, self.now)
            if refusal is None:
                self.waiting[waiting.request_id] = waiting
                return
            self.check_refusal(refusal)
        self.answer(waiting, outcome.value)

    @rule(data=st.data())
    def cancel(self, data: Any) -> None:
        known = [f"r{number}" for number in range(1, self.made + 1)]
        if not known:
            return
        wave = data.draw(st.lists(st.sampled_from(known), max_size=40))
        removed = self.queue.remove(wave)
        assert {each.request_id for each in removed} == set(wave) & set(self.waiting)
        for waiting in removed:
            del self.waiting[waiting.request_id]
            self.answer(waiting, "cancelled")

    @rule(seconds=st.one_of(st.sampled_from((0.5, 1.0)), st.floats(0.01, 5.0)))
    def wait(self, seconds: float) -> None:
        """Time passes, and the entry wakes up at the queue's `next_check`."""
        until = self.now + seconds
        while (check := self.queue.next_check(self.now)) is not None and check <= until:
            self.now = max(self.now, check)
            before = len(self.waiting)
            self.remove_late()
            if len(self.waiting) == before:
                self.now = min(until, self.now + 1e-3)
                if self.now >= until:
                    break
        self.now = until
        self.remove_late()
        self.was_paused = False

    @rule(seconds=st.floats(0.01, 5.0))
    def pause(self, seconds: float) -> None:
        """The whole process is paused, and finds late requests afterwards."""
        self.now += seconds
        self.was_paused = True

    def remove_late(self) -> None:
        for waiting, refusal in self.queue.remove_late(self.now):
            self.check_refusal(refusal)
            del self.waiting[waiting.request_id]
            self.answer(waiting, "given up")

    @rule(
        grants=st.dictionaries(workers, st.sampled_from((0, 1, 3))),
        seconds=st.sampled_from((0.5, 1.0, 3.0)),
    )
    def grant(self, grants: dict[str, int], seconds: float) -> None:
        self.granted = grants
        self.granted_until = self.now + seconds
        self.router.set_grants(WORKERS, grants, self.granted_until, self.now)

    @rule(leaving=st.frozensets(workers, max_size=1))
    def list_leaving(self, leaving: frozenset[str]) -> None:
        self.router.set_targets(WORKERS, leaving, self.now)
        self.listed_leaving = leaving

    @invariant()
    def nothing_lost_and_nothing_twice(self) -> None:
        assert len(self.queue) == len(self.waiting) <= LIMIT
        running = {waiting.request_id for _, waiting in self.running}
        assert len(running) == len(self.running)
        places = (self.waiting.keys(), running, self.answered.keys())
        assert sum(len(place) for place in places) == self.made
        assert len(set().union(*places)) == self.made

    @invariant()
    def nobody_waits_beyond_the_deadline(self) -> None:
        if self.was_paused:
            return
        assert all(each.deadline >= self.now - 1e-6 for each in self.waiting.values())

    def teardown(self) -> None:
        ids = [each.request_id for each in self.waiting.values()]
        assert len(self.queue.remove(ids)) == len(ids)
        assert len(self.queue) == 0


class GrantMachine(RuleBasedStateMachine):
    """One cell's owners and the entries; messages are late, lost or reordered."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.ledger = make_grant_ledger(self.now, took_over=False)
        self.owner_since = self.now
        self.entries: list[str] = ["entry-1", "entry-2"]
        self.demand = dict.fromkeys(ENTRIES, 0)
        # Each entry's latest grant: when it lapses, and slots by worker.
        self.received: dict[str, tuple[float, dict[str, int]]] = {}
        self.in_flight_messages: list[tuple[float, str, dict[str, int]]] = []

    @rule(entry=st.sampled_from(ENTRIES), count=st.integers(0, 12))
    def change_demand(self, entry: str, count: int) -> None:
        self.demand[entry] = count

    @rule(
        lost=st.frozensets(st.sampled_from(ENTRIES), max_size=2),
        late=st.frozensets(st.sampled_from(ENTRIES), max_size=2),
    )
    def grant(self, lost: frozenset[str], late: frozenset[str]) -> None:
        demand = {entry: self.demand[entry] for entry in self.entries}
        in_flight = {entry: self.use_slots(entry) for entry in self.entries}
        grants = self.ledger.grant(CELL, demand, in_flight, self.now)
        for entry, by_worker in grants.items():
            if entry in lost:
                continue
            if entry in late:
                self.in_flight_messages.append((self.now, entry, by_worker))
            else:
                self.received[entry] = (self.now + GRANT_SECONDS, by_worker)

    def use_slots(self, entry: str) -> dict[str, int]:
        """Return the requests running at each worker: as many as the entry may have."""
        until, by_worker = self.received.get(entry, (0.0, {}))
        if until <= self.now:
            by_worker = share_safely(CELL, self.entries, entry)
        return {
            name: min(count, self.demand[entry]) for name, count in by_worker.items()
        }

    @precondition(lambda self: self.in_flight_messages)
    @rule(data=st.data())
    def deliver(self, data: Any) -> None:
        place = data.draw(st.integers(0, len(self.in_flight_messages) - 1))
        sent, entry, by_worker = self.in_flight_messages.pop(place)
        if sent + DELIVERY_SECONDS >= self.now and entry in self.entries:
            self.received[entry] = (self.now + GRANT_SECONDS, by_worker)

    @rule(seconds=st.floats(0.05, 2.0))
    def wait(self, seconds: float) -> None:
        """Time passes; messages in flight arrive at the end of the delivery time."""
        self.now += seconds
        for sent, entry, by_worker in self.in_flight_messages:
            arrives = sent + DELIVERY_SECONDS
            if arrives <= self.now and entry in self.entries:
                until, _ = self.received.get(entry, (0.0, {}))
                if until < arrives + GRANT_SECONDS:
                    self.received[entry] = (arrives + GRANT_SECONDS, by_worker)
        self.in_flight_messages = [
            each
            for each in self.in_flight_messages
            if each[0] + DELIVERY_SECONDS > self.now
        ]

    @rule(entry=st.sampled_from(ENTRIES))
    def join(self, entry: str) -> None:
        if entry not in self.entries:
            self.entries.append(entry)

    @precondition(lambda self: len(self.entries) > 1)
    @rule(data=st.data(), dies=st.booleans())
    def lose(self, data: Any, dies: bool) -> None:
        """An entry is no longer listed; unless it died, it continues to send."""
        entry = data.draw(st.sampled_from(self.entries))
        self.entries.remove(entry)
        if dies:
            self.received.pop(entry, None)

    @precondition(lambda self: self.now > self.owner_since + GRANT_SECONDS)
    @rule()
    def change_owner(self) -> None:
        self.ledger = make_grant_ledger(self.now)
        self.owner_since = self.now

    @invariant()
    def fresh_grants_fit_each_worker(self) -> None:
        for worker, slots in CELL.items():
            total = sum(
                by_worker.get(worker, 0)
                for until, by_worker in self.received.values()
                if until > self.now
            )
            assert total <= slots, (worker, total, self.received)

    @invariant()
    def safe_shares_fit_each_worker(self) -> None:
        shares = [share_safely(CELL, self.entries, each) for each in self.entries]
        for worker, slots in CELL.items():
            assert sum(share[worker] for share in shares) == slots


def run_machine(machine: type[RuleBasedStateMachine], examples: int) -> None:
    """Run one machine with the same choices in each run."""
    bounds = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        stateful_step_count=40,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(machine, settings=bounds)
