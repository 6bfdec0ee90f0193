"""Records kept in the platform's store, and records that workers report.

The lowest layer: frozen data, without I/O or decisions.
"""
