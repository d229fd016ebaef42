"""A test harness: a fleet of real router processes on loopback, and scenarios that are run on it."""
