"""Who is near whom: processes and cells of one region.

Made for 8 regions that lose one another for minutes. If entries and placers of all
regions spoke to one another each second, the messages would grow with the square
of the VMs, and a cut between two regions would leave cells owned from the far side
of it. So a cell is owned from its own region if a placer lives there, an entry
speaks to the placers of its region, and a far one steps in only where there is no
near one. With one region, as today, everybody is near.
"""

from collections.abc import Iterable

import xxhash

from primrosestile.decisions.settingsview import SettingsView
from primrosestile.state.jobs import ProcessRecord


def rank_placers(
    cell: str, placers: Iterable[ProcessRecord], view: SettingsView
) -> list[str]:
    """Return the names of placers in the order in which they try for a cell.

    Near ones first; among them by a hash of both names, so that cells spread
    evenly and the loss of one placer moves only its own cells.
    """
    region = view.region_of.get(view.domain_of.get(cell, ""), "")

    def weigh(placer: ProcessRecord) -> tuple[bool, int]:
        near = view.region_of.get(placer.failure_domain, "") == region
        return near, xxhash.xxh64_intdigest(f"{cell}\0{placer.name}".encode())

    ordered = sorted(placers, key=weigh, reverse=True)
    return [placer.name for placer in ordered]


def choose_near(
    failure_domain: str, placers: Iterable[ProcessRecord], view: SettingsView
) -> list[ProcessRecord]:
    """Return the placers of one's own region; all of them where it has none."""
    found = list(placers)
    region = view.region_of.get(failure_domain, "")
    near = [
        each for each in found if view.region_of.get(each.failure_domain, "") == region
    ]
    return near or found


def choose_near_targets(failure_domain: str, view: SettingsView) -> dict[str, int]:
    """Return the slots of the workers of one's own region; all where it has none.

    A short request whose caller waits is answered near; the ways between regions
    take longer than most quotes, and a cut would leave it without an answer.
    """
    region = view.region_of.get(failure_domain, "")
    near = {
        worker.name: worker.slots
        for cell, workers in view.workers_in.items()
        if view.region_of.get(view.domain_of[cell], "") == region
        for worker in workers
    }
    return near or view.slots
