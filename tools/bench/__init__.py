"""Benchmarks: each module has `run(output)` and writes its figures as JSON."""
