"""A demo that needs no setup: a router with both fronts, fake cache servers and a fake discovery service."""
