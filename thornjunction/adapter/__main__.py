"""Entry point of ``python -m thornjunction.adapter``."""

import sys

from thornjunction.adapter import main

if __name__ == "__main__":
    sys.exit(main())
