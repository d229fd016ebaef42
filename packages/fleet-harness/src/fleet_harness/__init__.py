"""A fleet of real router processes on one machine, and scenarios played on it."""
