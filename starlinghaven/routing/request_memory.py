"""The memory of requests that were taken and not answered yet: asked for before a request is taken."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial

from starlinghaven.memory import Account, own_account
from starlinghaven.routing.types import Ask, Asker

REQUEST_BYTES = 5 * 1024  # of an open request beside its body: the state of its attempts, at every place
UNBOUNDED = 1 << 40  # bytes, where nobody sets a limit


@dataclass(frozen=True, slots=True)
class EngineAccounts:
    """Where the engine's memory comes from."""

    requests: Account = field(default_factory=partial(own_account, UNBOUNDED))
    answers: Account = field(default_factory=partial(own_account, UNBOUNDED))  # of stores, on their way
    list: Account = field(default_factory=partial(own_account, UNBOUNDED))  # of stores


def cost(ask: Ask) -> int:
    """Bytes that a request holds while it is open."""
    return REQUEST_BYTES + len(ask.body)


@dataclass(frozen=True, slots=True)
class Admission:
    """A request that may be posted: what was taken for it, and whether its client asks for nothing else."""

    held: int
    alone: bool


def admitted(account: Account, ask: Ask, asker: Asker, alone: bool) -> Admission | None:
    """Takes the memory of a request; None if it is to be refused.

    Where little is left, those go first who ask for one thing at a time. Who asks for much at once leaves
    a reserve, and as much as it holds itself, so that the parts of all who do are alike (a dynamic threshold:
    Choudhury and Hahne, "Dynamic queue length thresholds for shared-memory packet switches", 1998).
    """
    wanted = cost(ask)
    leave = max(account.reserve, asker.held)
    if not account.allows(wanted, leave) and not (alone and account.allows(wanted)):
        account.refuse()
        return None
    account.take_always(wanted)
    return Admission(wanted, alone)
