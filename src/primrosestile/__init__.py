"""primrosestile: a scheduler for multi-accelerator jobs under guarantees.

Only the names below are public. Everything else may change in any release,
because the programs and the command line are the supported surface.
"""

from primrosestile.errors import ANSWERS, Answer, ErrorKind, Failure, Ran

__all__ = ["ANSWERS", "Answer", "ErrorKind", "Failure", "Ran"]
__version__ = "0.1.0"
