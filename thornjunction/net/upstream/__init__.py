"""Connections to cache servers, parents and the origin: the pool, connecting and health checks."""
