"""URI Signing (RFC 9246): tokens, their keys, the replay window and the client's address.

The package does no I/O and reads no clock.
"""
