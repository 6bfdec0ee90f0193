"""Records: what is kept in the platform's store and what workers report.

The lowest layer. Frozen data, no input or output, no decisions.
"""
