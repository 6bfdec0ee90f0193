"""A small stand-in for the platform and the workers, for tests and the demo.

The shipped package must not import it; the layers check enforces this.
"""
