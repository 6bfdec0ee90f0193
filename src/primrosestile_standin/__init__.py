"""A small stand-in for the platform and the workers; for tests and the demo.

Never imported by the shipped package: the layers check forbids it.
"""
