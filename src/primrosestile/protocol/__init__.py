"""What is said between processes and to the platform: messages and interfaces.

Nothing here opens a connection; the transport layer implements the interfaces.
"""
