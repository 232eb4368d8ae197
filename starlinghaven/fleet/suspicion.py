"""Own health and suspicion times, after Lifeguard. No I/O, no clock of its own.

Source: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
Detection" (DSN-W 2018). LHA-Probe is `OwnHealth`, LHA-Suspicion is `Suspicion`.
"""

from __future__ import annotations

import math


class OwnHealth:
    """The local health multiplier: 0 is well; each step makes own probes and suspicions slower."""

    def __init__(self, most: int) -> None:
        self._most, self.score = most, 0

    def worse(self, steps: int = 1) -> None:
        self.score = min(self.score + steps, self._most)

    def better(self) -> None:
        self.score = max(self.score - 1, 0)

    @property
    def factor(self) -> int:
        return self.score + 1


class Suspicion:
    """One member under suspicion: the more distinct members accuse it, the sooner it counts as failed.

    The time is `least` once `enough` further accusers have been heard and `most` with the first alone,
    between them it falls with the logarithm of their number.
    """

    def __init__(self, now: float, accuser: int, least: float, most: float, enough: int) -> None:
        """`now`, `least` and `most` in ms; `enough` accusers beside the first."""
        self.started, self.least, self.most, self.enough = now, least, most, enough
        self.accusers = {accuser}

    def confirm(self, accuser: int) -> bool:
        """Takes one more accuser; says whether it was a new one that still counts."""
        if accuser in self.accusers or self.confirmed:
            return False
        self.accusers.add(accuser)
        return True

    @property
    def confirmed(self) -> bool:
        """Whether so many distinct members accuse it that the word of a failure is believed: two at least."""
        return len(self.accusers) > max(self.enough, 1)

    def due(self, factor: int) -> float:
        """When the member counts as failed; `factor` is that of the own health."""
        share = min(math.log(len(self.accusers)) / math.log(self.enough + 1), 1.0) if self.enough else 1.0
        time = max(self.least, self.most - share * (self.most - self.least))
        return self.started + time * factor
