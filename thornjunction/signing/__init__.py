"""Signed URIs by RFC 9246 (URI Signing): tokens, their keys, replays and the client's address.

No I/O, no clock and no wire.
"""
