"""Numbers as peers and files give them: refused unless they are of the expected type and within bounds.

A number without a bound is a defect that waits: Python's integers have any length, and the first one that
meets a float above 1.8e308, or a field of eight bytes, raises OverflowError far from where it was read.
"""

from __future__ import annotations

from starlinghaven.protocol import ProtocolError

MOST_UNIX_MS = 253_402_300_799_999  # the last millisecond of the year 9999
MOST_EVENT = 2**48  # number of an event of the change log
SHOWN = 40  # characters of a value that can't be used which messages repeat


def shown(value: object) -> str:
    """The value for a message, cut to a length that a log can bear."""
    text = value if isinstance(value, str) else type(value).__name__
    return repr(text[:SHOWN])


def decimal(text: str, most: int) -> int:
    """The number that ASCII digits spell. Errors: ProtocolError for other text, or a number above `most`."""
    if not (text.isascii() and text.isdigit()) or len(text) > len(str(most)):
        raise ProtocolError(f"not a number: {shown(text)}")
    return integer(int(text), most)


def figure(text: str, most: float) -> float:
    """The figure that a text spells. Errors: ProtocolError unless it is within 0 and `most`."""
    try:
        return finite(float(text), most)
    except ValueError as error:
        raise ProtocolError(f"not a figure: {shown(text)}") from error


def integer(value: object, most: int) -> int:
    """A value of JSON that must be a whole number. Errors: ProtocolError unless it is within 0 and `most`."""
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= most:
        raise ProtocolError(f"not a whole number from 0 to {most}: {shown(value)}")
    return value


def finite(value: object, most: float) -> float:
    """A value of JSON that must be a number. Errors: ProtocolError unless it is within 0 and `most`."""
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value <= most:
        raise ProtocolError(f"not a number from 0 to {most}: {shown(value)}")
    return float(value)


def text(value: object) -> str:
    """A value of JSON that must be text. Errors: ProtocolError for anything else."""
    if not isinstance(value, str):
        raise ProtocolError(f"not text: {shown(value)}")
    return value
