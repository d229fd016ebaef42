"""Codecs without I/O, between bytes and small frozen values."""


class ProtocolError(ValueError):
    """Received bytes violate a protocol; the text is a short code for the log."""
