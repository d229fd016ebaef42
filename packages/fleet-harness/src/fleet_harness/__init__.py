"""A fleet of real router processes on one machine, and scenarios that are run on it."""
