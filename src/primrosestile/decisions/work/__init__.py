"""Decisions about jobs of steps, on one picture of the fleet.

- `units`: jobs, units, members and workers.
- `board`: the picture that is made of them, and what events change in it.
- `ordering`: which waiting unit goes first.
- `placing`: where a unit goes.
- `preempting`: what is stopped for whom.
- `evacuating`: what is taken off a worker that leaves.
- `reserving`: room that is kept for gangs.
- `durations`, `speeds`: what is learned of run times and workers.
- `trust`: which workers are left out for a while.
- `planning`: one pass over all that waits.
"""
