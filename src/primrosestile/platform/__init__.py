"""Meets the users' platform: its names, formats and calls, and nothing that decides.

Its names are decoded here once, into types of `state` and `protocol`; no other
package knows them.
"""
