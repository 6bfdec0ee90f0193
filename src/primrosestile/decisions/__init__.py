"""Scheduling decisions: admission, queueing, placement, reclaim and migration.

Pure code: time is an argument, results are typed values, and nothing here opens a
socket, sleeps or reads a clock. The coordination layer carries decisions out.
"""
