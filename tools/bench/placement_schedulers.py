"""The policies under test: ours with variants, and the baselines."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from primrosestile.decisions.cell import CellView, Demand
from primrosestile.decisions.defragmentation import INTERVAL_SECONDS, find_move
from primrosestile.decisions.placement import Decision, Placed, Waits, order_demands
from primrosestile.decisions.placement_candidates import (
    list_free,
    list_places,
    make_members,
)
from primrosestile.decisions.placement_queue import decide_waiting
from primrosestile.decisions.run_times import RunTimes
from primrosestile.state.fleet import Worker
from primrosestile.state.jobs import ReasonCode
from primrosestile.state.tenancy import Policy, Shape


@dataclass
class Primrosestile:
    """The product's decisions.

    Attributes:
        learns: Whether measured run times are used; if not, declared ones are.
    """

    policy: Policy
    learns: bool = True
    run_times: RunTimes = field(default_factory=RunTimes)
    moves: bool = True
    moved_at: float = 0.0

    def make_view(
        self, workers: Sequence[Worker], promised: Sequence[tuple[str, Shape]]
    ) -> CellView:
        return CellView(workers, promised)

    def decide(
        self, view: CellView, waiting: Sequence[Demand], now: float
    ) -> Iterator[tuple[Demand, Decision]]:
        ordered = order_demands(waiting, view, self.policy, self.run_times, now)
        return decide_waiting(view, ordered, self.policy, now)

    def learn(self, job_class: str, seconds: float) -> None:
        if self.learns:
            self.run_times.record(job_class, seconds)

    def move(self, view: CellView, now: float) -> Sequence[str]:
        if not self.moves or now - self.moved_at < INTERVAL_SECONDS:
            return ()
        move = find_move(view, self.policy, now)
        if move is None:
            return ()
        self.moved_at = now
        return move.victims


@dataclass
class FirstFit:
    """Places jobs in order of arrival where they first fit; stops nothing.

    Attributes:
        is_blocking: Whether a job that does not fit blocks the jobs behind it.
    """

    is_blocking: bool

    def make_view(
        self, workers: Sequence[Worker], promised: Sequence[tuple[str, Shape]]
    ) -> CellView:
        return CellView(workers, ())

    def decide(
        self, view: CellView, waiting: Sequence[Demand], now: float
    ) -> Iterator[tuple[Demand, Decision]]:
        ordered = sorted(waiting, key=lambda each: (each.accepted_at, each.job_id))
        failed: set[Shape] = set()
        for demand in ordered:
            if demand.shape in failed:
                continue
            free = list_free(view)
            places = list_places(
                view.layout, free, demand.shape, lambda worker, _: float(worker), 1
            )
            if places:
                members = make_members(view, places[0][1])
                yield demand, Placed(members, ReasonCode.PLACED, "")
                continue
            failed.add(demand.shape)
            yield demand, Waits(ReasonCode.WAITS_FOR_ROOM, "", 1.0)
            if self.is_blocking:
                return

    def learn(self, job_class: str, seconds: float) -> None:
        pass

    def move(self, view: CellView, now: float) -> Sequence[str]:
        return ()
