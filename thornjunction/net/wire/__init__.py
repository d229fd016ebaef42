"""Codecs without I/O: bytes to small frozen values and back."""


class ProtocolError(ValueError):
    """Bytes that violate a protocol; the text is a short code for the log."""
