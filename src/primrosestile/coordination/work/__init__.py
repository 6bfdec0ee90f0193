"""Jobs of steps on the fleet: accepted by every process, scheduled by one.

- `keys`: what stands in the store under which key, and who writes it.
- `policywatch`: keeps this process's policy provably recent.
- `submitting`: takes in jobs, cancellations and questions from callers.
- `election`: which process schedules, under which fence, and until when.
- `recording`: the owner's records, written in groups under its fence.
- `intake`: how the owner learns of new jobs, cancellations and workers.
- `roster`: which workers there are.
- `links`: one task for each worker: its lease, what runs there, what ended.
- `orders`: carries out decisions: record first, then start; stop until sure.
- `learned`: what an owner has learned, for the next one.
- `scheduling`: one term of ownership, from recovery to its end.
"""
