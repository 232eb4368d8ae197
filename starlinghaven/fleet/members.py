"""What one member holds of another, and how that changed."""

from __future__ import annotations

import math
from dataclasses import dataclass

from starlinghaven.fleet.codec import NOBODY, Status

QUIET_STATUS = (Status.FAILED, Status.LEFT)


@dataclass(slots=True)
class Member:
    """What is held of one member. Version is (life, incarnation). Times are ms."""

    status: Status = Status.UNKNOWN
    life: int = 0
    inc: int = 0
    accuser: int = NOBODY
    since: float = -math.inf  # when its status was taken
    heard_at: float = -math.inf  # when a datagram came from it
    tried: bool = False  # probed in vain while nothing was known of it
    vouched: bool = False  # last known to live by a helper's word alone: it does not answer here

    @property
    def version(self) -> tuple[int, int]:
        """Later incarnations are greater; a later life outranks all of an earlier one."""
        return (self.life, self.inc)


@dataclass(frozen=True, slots=True)
class Change:
    """A member's state changed, and why: for logs, tests and the console."""

    at: float
    member: int
    before: Status
    after: Status
    life: int
    inc: int
    cause: str
