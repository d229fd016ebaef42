"""``python -m control_sim``."""

from __future__ import annotations

from control_sim.command import main

raise SystemExit(main())
