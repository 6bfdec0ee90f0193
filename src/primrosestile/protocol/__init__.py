"""Messages between processes, and interfaces to peers, workers and the platform.

Nothing here opens a connection; `transport` and `platform` implement the interfaces.
"""
