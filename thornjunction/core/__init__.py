"""Drives a router: requests in, attempts out, one final answer each.  Knows no wire and no event loop."""
