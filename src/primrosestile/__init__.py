"""primrosestile: a scheduler for multi-accelerator jobs under guarantees.

Only the names below are public. Everything else may change in any release: the
supported interfaces are the programs and the command line.
"""

from primrosestile.errors import ANSWERS, Answer, ErrorKind, Failure, Ran

__all__ = ["ANSWERS", "Answer", "ErrorKind", "Failure", "Ran"]
__version__ = "0.1.0"
