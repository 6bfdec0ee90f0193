"""Decisions about jobs of steps, on one picture of the fleet.

What they are made on:

- `units`: jobs, units, members and workers.
- `board`: the picture that is made of them, and what events change in it.
- `durations`, `speeds`: what is learned of run times and workers.

One pass, `planning`, asks in this order; each module says which load it answers:

1. `rescuing`: what stands still and goes elsewhere.
2. `ordering`: which waiting unit goes first.
3. `placing`: where it goes, if it fits.
4. `preempting`: what may be stopped for it, if it does not fit; `evicting`: where;
   `freeing`: for whom that is held, and how long it is waited for.
5. `reserving`: room that is kept for it until then.

`mechanisms` composes these, so that each can be taken away by itself. Beside the pass:

- `evacuating`: what is taken off a worker that leaves.
- `trust`: which workers are left out for a while.
- `pacing`, `advising`, `upkeep`: filling work, the advice service, waves of upkeep.
- `fitness`, `standing`: who may own the fleet.
"""
