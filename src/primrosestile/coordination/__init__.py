"""What one process does over time: ownership, gang starts, claims, settings.

Coordination code acts through the interfaces of the protocol layer and follows
the decisions; the tests drive it with in-memory adapters on a paused clock.
"""
