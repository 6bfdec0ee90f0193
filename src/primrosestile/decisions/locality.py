"""Locality: prefers placers and targets of the own region.

Designed for 8 regions that lose the connections between them for minutes. If entries
and placers of all regions exchanged messages each second, traffic would grow with the
square of the VMs, and a partition between two regions would leave cells owned from its
far side. So a cell is owned from its own region if a placer runs there, an entry
contacts the placers of its region, and remote ones are used only where there is no
local one. With one region, everything is local.
"""

from collections.abc import Iterable

import xxhash

from primrosestile.decisions.settings_view import SettingsView
from primrosestile.state.jobs import ProcessRecord


def rank_placers(
    cell: str, placers: Iterable[ProcessRecord], view: SettingsView
) -> list[str]:
    """Return the names of placers in the order in which they try to own a cell.

    Local ones come first; among them the order is a hash of both names (rendezvous
    hashing), so that cells spread evenly and the loss of one placer moves only its own
    cells.
    """
    region = view.region_of.get(view.domain_of.get(cell, ""), "")

    def weigh(placer: ProcessRecord) -> tuple[bool, int]:
        local = view.region_of.get(placer.failure_domain, "") == region
        return local, xxhash.xxh64_intdigest(f"{cell}\0{placer.name}".encode())

    ordered = sorted(placers, key=weigh, reverse=True)
    return [placer.name for placer in ordered]


def select_local(
    failure_domain: str, placers: Iterable[ProcessRecord], view: SettingsView
) -> list[ProcessRecord]:
    """Return the placers of the own region; all placers if it has none."""
    found = list(placers)
    region = view.region_of.get(failure_domain, "")
    local = [
        each for each in found if view.region_of.get(each.failure_domain, "") == region
    ]
    return local or found


def select_local_targets(failure_domain: str, view: SettingsView) -> dict[str, int]:
    """Return the slots of the own region's workers; those of all if it has none.

    A short request whose caller waits is answered locally: the latency between regions
    exceeds the time that most quotes take, and during a partition there would be no
    answer.
    """
    region = view.region_of.get(failure_domain, "")
    local = {
        worker.name: worker.slots
        for cell, workers in view.workers_in.items()
        if view.region_of.get(view.domain_of[cell], "") == region
        for worker in workers
    }
    return local or view.slots
