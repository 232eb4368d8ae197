"""Codecs without I/O: they read from a ring or from bytes, and write bytes."""


class ProtocolError(Exception):
    """The other side said what the protocol does not allow."""
