"""``python -m thornjunction [COMMAND]``.

Without a command the program serves, and the libraries of the command line are not loaded.
"""

import os
import sys


def main() -> None:
    """Run the program, or the command that the arguments name."""
    if len(sys.argv) == 1:
        from thornjunction.program import run_program

        sys.exit(run_program(os.environ))
    from thornjunction.cli import main as command_line

    command_line(prog_name="thornjunction")


if __name__ == "__main__":
    main()
