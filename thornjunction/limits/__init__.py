"""Load limits that hold for an entire fleet although its routers do not communicate; no clock, no I/O."""
