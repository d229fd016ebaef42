"""Load limits that hold for a whole fleet although its routers do not communicate; no clock, no I/O."""
