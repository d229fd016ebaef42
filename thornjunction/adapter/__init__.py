"""The simulator's adapter: reads its messages, drives one router per instance, writes the replies.

Translation only.  Run as ``python -m thornjunction.adapter``; standard output carries replies and nothing
else, warnings go to standard error.
"""

import sys

from thornjunction.adapter.session import Session
from thornjunction.settings import WireError

__all__ = ["Session", "main"]

# Exit code of a run that malformed input ended.
MALFORMED_INPUT_EXIT_CODE = 2


def main() -> int:
    """Serve standard input until it ends; return the exit code."""
    try:
        Session(sys.stdout, sys.stderr).run(sys.stdin)
    except WireError as error:
        print(f"thornjunction: {error}", file=sys.stderr)
        return MALFORMED_INPUT_EXIT_CODE
    return 0
