"""Decisions under load: admit, queue, refuse, place, reclaim, shift.

Pure code: time comes in as an argument, outcomes go out as typed values, and
nothing here opens a socket, sleeps or reads a clock. The coordination layer does
what a decision says.
"""
