"""Connections of clients: the fronts, their table and the scheduling of their requests."""
