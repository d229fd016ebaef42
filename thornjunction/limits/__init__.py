"""Limits that a fleet of routers keeps together although its routers do not communicate; no clock, no I/O."""
