"""Scheduling decisions for jobs of steps, made on one state of the fleet.

Data that decisions are made on:

- `units`: jobs, units, members and workers.
- `fleet_state`: the fleet's state, and how events change it.
- `durations`, `speeds`: run times and worker speeds learned from past runs.

One pass, `plan`, runs these in order; each module names the load it is made for:

1. `stall_restarts`, `departure_restarts`: which units are restarted elsewhere, since a
   member is stalled or its worker leaves.
2. `queue_order`: which waiting unit goes first.
3. `placement`: where it goes, if it fits.
   `speed_groups`, `group_placement`: on workers of which speed, where that is used.
4. `preemption`: what may be stopped for it, if it does not fit; `evictions`: where;
   `held_room`: for whom that room is held, and for how long.
   `headroom`: what is withheld from other work for urgent work to come.
5. `reservations`: room that is reserved for it until then.

`mechanisms` composes these, so that each can be replaced by itself. Beside the pass:

- `evacuation`: what is moved off a worker that leaves.
- `worker_quarantine`: which workers get no new work for a while.
- `paces`, `advice`, `maintenance`: best-effort work, the advice service, waves.
- `owner_health`, `election_delay`: which process may own the fleet.
"""
