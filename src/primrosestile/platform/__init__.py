"""Adapter to the users' platform: its names, formats and calls; makes no decisions.

The platform's names are decoded here into types of `state` and `protocol`; no other
package uses them.
"""
