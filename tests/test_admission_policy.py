"""The admission controller alone: floods, the reserve for known clients, bounded tables."""

from __future__ import annotations

import netaddr
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from starlinghaven.admission.policy import Admission, Admit, Limits, Refuse, Why


def test_a_flood_from_one_address_leaves_room_for_a_known_client() -> None:
    a = Admission(Limits(places=100, reserve=0.1, per_address=200, per_prefix=200, burst=1000))
    a.served("198.51.100.7", 0.0)  # a claim officer, seen before
    taken = [a.admit("203.0.113.9", 1.0) for _ in range(200)]
    admitted = sum(isinstance(t, Admit) for t in taken)
    assert admitted == 90, "the flood stops at the reserve"
    assert {t.why for t in taken if isinstance(t, Refuse)} == {Why.RESERVED}
    back = a.admit("198.51.100.7", 2.0)
    assert isinstance(back, Admit) and back.known


def test_one_address_and_one_network_have_caps_of_their_own() -> None:
    a = Admission(Limits(places=1000, per_address=3, per_prefix=5, burst=1000))
    got = [a.admit("192.0.2.1", 0.0) for _ in range(4)]
    assert [isinstance(g, Admit) for g in got] == [True, True, True, False]
    assert isinstance(got[3], Refuse) and got[3].why is Why.ADDRESS and got[3].retry_after_s > 0
    assert isinstance(a.admit("192.0.2.2", 0.0), Admit) and isinstance(a.admit("192.0.2.3", 0.0), Admit)
    refused = a.admit("192.0.2.4", 0.0)
    assert isinstance(refused, Refuse) and refused.why is Why.PREFIX
    assert isinstance(a.admit("192.0.3.4", 0.0), Admit), "another /24"
    a.released("192.0.2.1")
    assert isinstance(a.admit("192.0.2.4", 0.0), Admit)


def test_a_burst_of_new_connections_is_metered_and_told_when_to_come_back() -> None:
    a = Admission(Limits(places=10_000, per_address=10_000, per_prefix=10_000, rate_per_s=10, burst=5))
    got = [a.admit("2001:db8::1", 0.0) for _ in range(6)]
    assert sum(isinstance(g, Admit) for g in got) == 5
    last = got[-1]
    assert isinstance(last, Refuse) and last.why is Why.RATE and last.retry_after_s == pytest.approx(0.1)
    assert isinstance(a.admit("2001:db8::2", 0.1), Admit), "a token came back after 0.1 s"


def test_ipv4_mapped_addresses_count_as_their_ipv4_address() -> None:
    a = Admission(Limits(per_address=1, per_prefix=10))
    assert isinstance(a.admit("::ffff:192.0.2.1", 0.0), Admit)
    refused = a.admit("192.0.2.1", 0.0)
    assert isinstance(refused, Refuse) and refused.why is Why.ADDRESS


def test_the_allow_list_is_a_set_of_networks() -> None:
    a = Admission(Limits(places=2, reserve=0.5, known=("10.20.0.0/16", "2001:db8:1::/48")))
    assert isinstance(a.admit("192.0.2.1", 0.0), Admit)
    refused = a.admit("192.0.2.2", 0.0)
    assert isinstance(refused, Refuse) and refused.why is Why.RESERVED
    admitted = a.admit("10.20.3.4", 0.0)
    assert isinstance(admitted, Admit) and admitted.known
    full = a.admit("2001:db8:1::5", 0.0)
    assert isinstance(full, Refuse) and full.why is Why.FULL, "the reserve is a share, not more places"


def test_what_is_no_address_is_refused_and_bad_limits_are_named() -> None:
    assert Admission().admit("not-an-ip", 0.0) == Refuse(Why.BAD, 0.0)
    with pytest.raises(ValueError, match="per-address") as wrong:
        Admission(Limits(per_address=10, per_prefix=5, known=("10.0.0.0/33",)))
    assert "known: '10.0.0.0/33'" in str(wrong.value)


def test_clients_known_by_use_are_forgotten_in_time_and_in_number() -> None:
    a = Admission(Limits(remember_s=10.0, remember_most=100))
    for n in range(1000):
        a.served(f"10.0.{n // 256}.{n % 256}", float(n) / 100)
    assert len(a._recent) == 100, "a table of addresses that would grow is bounded"
    assert a.is_known(_ip("10.0.3.231"), 10.0) and not a.is_known(_ip("10.0.0.1"), 10.0)
    assert not a.is_known(_ip("10.0.3.231"), 30.0), "forgotten after remember_s"


def _ip(text: str) -> netaddr.IPAddress:
    return netaddr.IPAddress(text)


ADDRESSES = st.one_of(
    st.builds(lambda n: f"192.0.2.{n}", st.integers(0, 255)),
    st.builds(lambda n: f"198.51.{n}.1", st.integers(0, 255)),
    st.builds(lambda n: f"2001:db8:{n:x}::1", st.integers(0, 0xFFFF)),
)


class Model(RuleBasedStateMachine):
    """Random admits, closes and completions; the counts and bounds hold after each."""

    def __init__(self) -> None:
        super().__init__()
        self.a = Admission(Limits(places=40, reserve=0.25, per_address=4, per_prefix=8, rate_per_s=50,
                                  burst=10, remember_most=16, track_most=16))  # fmt: skip
        self.now = 0.0
        self.held: list[str] = []

    @rule(address=ADDRESSES, gap=st.floats(0, 0.2))
    def connect(self, address: str, gap: float) -> None:
        self.now += gap
        got = self.a.admit(address, self.now)
        if isinstance(got, Admit):
            self.held.append(got.source)

    @precondition(lambda self: self.held)
    @rule(n=st.integers(0, 1000))
    def close(self, n: int) -> None:
        self.a.released(self.held.pop(n % len(self.held)))

    @precondition(lambda self: self.held)
    @rule(n=st.integers(0, 1000))
    def serve(self, n: int) -> None:
        self.a.served(self.held[n % len(self.held)], self.now)

    @invariant()
    def counts_hold(self) -> None:
        assert self.a.open == len(self.held) <= 40
        assert sum(self.a.by_address.values()) == len(self.held)
        assert all(n <= 4 for n in self.a.by_address.values()) or any(self.a._recent)
        assert len(self.a._recent) <= 16 and len(self.a._buckets) <= 16


TestModel = Model.TestCase
TestModel.settings = settings(max_examples=60, stateful_step_count=60, deadline=None)


@given(st.text(max_size=60))
def test_any_text_as_an_address_is_answered_never_raised(text: str) -> None:
    got = Admission().admit(text, 0.0)
    assert isinstance(got, Admit | Refuse)
