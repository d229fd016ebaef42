"""Client connections: the fronts, the connection table and the scheduling of requests."""
