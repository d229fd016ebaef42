"""Limits that hold for a whole fleet of routers that do not communicate; no clock, no I/O."""
