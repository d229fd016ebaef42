"""The core: passes requests to a router, carries out its decisions, and answers each request once.

It has no network protocol and no event loop; ``ports.py`` has the interfaces to both.
"""
