"""Entry point of ``python -m fleet_sim``."""

from .command import main

raise SystemExit(main())
