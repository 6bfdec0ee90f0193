"""Sockets: adapters that implement the protocol layer's interfaces."""
