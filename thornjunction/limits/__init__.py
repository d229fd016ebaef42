"""Limits that hold for a fleet whose routers do not hear one another; no clock, no I/O, no wire."""
