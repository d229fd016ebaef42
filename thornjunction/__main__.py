"""``python -m thornjunction [COMMAND]``: the command line; with none, one real request router, which pays for
no command's libraries."""

import os
import sys

if __name__ == "__main__":
    if len(sys.argv) == 1:
        from thornjunction.runtime.start import serve_or_demo

        sys.exit(serve_or_demo(os.environ))
    from thornjunction.cli import main

    main(prog_name="thornjunction")
