"""The simulator's adapter: reads the simulator's messages, drives one router per instance, writes replies.

It only translates between messages and the router's events and actions.  Run it as ``python -m
thornjunction.adapter``; standard output carries only replies, and warnings go to standard error.
"""

import sys

from thornjunction.adapter.session import Session
from thornjunction.settings import WireError

__all__ = ["Session", "main"]

# Exit code of a run that ended at malformed input.
MALFORMED_INPUT_EXIT_CODE = 2


def main() -> int:
    """Process standard input until it ends or is malformed, and return the exit code."""
    try:
        Session(sys.stdout, sys.stderr).run(sys.stdin)
    except WireError as error:
        print(f"thornjunction: {error}", file=sys.stderr)
        return MALFORMED_INPUT_EXIT_CODE
    return 0
