"""Jobs of steps on the fleet: accepted by every process, scheduled by one.

- `keys`: the layout of the keys in the store, and who writes each.
- `policy_watch`: polls the policy and knows how recent it is.
- `job_submissions`: handles submissions, cancellations and state queries of callers.
- `election`: elects the process that schedules, and its fence and lease.
- `recorder`: writes the owner's records in batches under its fence.
- `request_watch`: reads new jobs and cancellations for the owner.
- `worker_discovery`: keeps the owner's list of workers current.
- `worker_links`: one task for each worker: its lease, its running and ended runs.
- `orders`: records each decision, then starts runs; repeats stops until confirmed.
- `run_statistics`: measured speeds and run times, stored for the next owner.
- `scheduler`: one term of ownership, from recovery to its end.
"""
