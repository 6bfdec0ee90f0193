"""The metrics of every program.

They are separate from `common` because a node uses nothing else of that module.
"""

from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render

LATENCY_BUCKETS = (0.002, 0.005, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 60.0)


class Metrics:
    """The metrics of one process, rendered for Prometheus."""

    def __init__(self, program: str) -> None:
        self.registry = registry = Registry()
        labels = {"program": program}
        self.requests = Counter("requests_total", "Answers by kind", labels, registry)
        self.jobs = Counter(
            "jobs_total", "Jobs accepted or refused, by kind", labels, registry
        )
        self.unreadable = Counter(
            "unreadable_total",
            "Values of others that were refused, by source and fault",
            labels,
            registry,
        )
        self.refused_under_load = Counter(
            "refused_under_load_total",
            "Submissions refused by the fleet's load, by reason",
            labels,
            registry,
        )
        self.lines_dropped = Counter(
            "log_lines_dropped_total",
            "Lines of the log that its bounds left out, by event",
            labels,
            registry,
        )
        self.seconds = Histogram(
            "request_seconds",
            "Seconds from arrival to answer",
            labels,
            registry,
            list(LATENCY_BUCKETS),
        )
        self.state = Gauge("state", "Figures of the moment, by name", labels, registry)

    def count_refused_under_load(self, reason: str) -> None:
        """Count a submission that was refused by the fleet's load."""
        self.refused_under_load.inc({"reason": reason})

    def count_dropped_line(self, event: str) -> None:
        """Count a dropped log line."""
        self.lines_dropped.inc({"event": event})

    def render(self, accept: list[str]) -> tuple[bytes, Mapping[str, str]]:
        """Return the metrics page and its headers."""
        return render(self.registry, accept)
