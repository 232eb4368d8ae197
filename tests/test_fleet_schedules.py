"""Worst schedules: every pattern of early loss in a small fleet, and random faults from hypothesis."""

from __future__ import annotations

from itertools import product
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlinghaven.fleet.codec import Status
from starlinghaven.fleet.settings import Limits
from starlinghaven.fleet.swim import Membership
from starlinghaven.lab.simulate import Network, membership

LIMITS = Limits()
FIRST = 9  # datagrams after the event, each of which is lost or not: 512 schedules


def three(lost: tuple[bool, ...], kill: bool) -> Network:
    """Three members that know each other; then one dies or not, and the next datagrams meet their fates."""
    net = Network(3, membership(LIMITS), 11)
    net.run(4_000)
    assert all(h.core.alive() == {0, 1, 2} for h in net.hosts.values())
    net.changes.clear()
    if kill:
        net.kill([2])
    fates = iter(lost)

    def spoil(a: int, b: int, data: bytes) -> bytes | None:
        return None if next(fates, False) else data

    net.spoil = spoil
    net.run(4_000 + 20_000)
    return net


@pytest.mark.parametrize("kill", [True, False])
def test_every_pattern_of_early_loss_ends_in_the_same_view(kill: bool) -> None:
    runs = 0
    for lost in product((False, True), repeat=FIRST):
        net, runs = three(lost, kill), runs + 1
        living = {0, 1} if kill else {0, 1, 2}
        for k in living:
            assert net.hosts[k].core.alive() == living, lost
        wrong = {c.member for _, c in net.changes if c.after is Status.FAILED} - {2}
        assert not wrong, lost  # nine lost datagrams at the most end nobody who lives
        if kill:
            assert net.hosts[0].core.members[2].status is Status.FAILED
    assert runs == 2**FIRST


MEMBERS = st.integers(0, 9)
FAULTS = st.one_of(
    st.tuples(st.just("kill"), MEMBERS),
    st.tuples(st.just("restart"), MEMBERS),
    st.tuples(st.just("stall"), MEMBERS, st.integers(100, 9_000)),
    st.tuples(st.just("cut"), st.frozensets(MEMBERS, min_size=1, max_size=6)),
    st.tuples(st.just("one way"), MEMBERS, MEMBERS),
    st.tuples(st.just("loss"), st.sampled_from([0.0, 0.1, 0.3])),
    st.tuples(st.just("wait"), st.integers(100, 6_000)),
)


def apply(net: Network, fault: tuple[Any, ...]) -> None:
    match fault:
        case ("kill", k):
            net.kill([k])
        case ("restart", k):
            net.kill([k])
            net.start(k)
        case ("stall", k, ms):
            if net.hosts[k].up and not net.hosts[k].stalled:
                net.stall(k, ms)
        case ("cut", part):
            net.cut = lambda a, b: (a in part) != (b in part)
        case ("one way", x, y):
            net.cut = lambda a, b: (a, b) == (x, y)
        case ("loss", share):
            net.loss = share
        case ("wait", ms):
            net.run(net.now + ms)


@settings(max_examples=25)
@given(st.lists(FAULTS, min_size=1, max_size=12), st.integers(0, 1_000))
def test_after_any_faults_all_agree_again(faults: list[tuple[Any, ...]], seed: int) -> None:
    """Ten members, up to twelve faults, then a healed network: one view within 40 s of virtual time."""
    net = Network(10, membership(LIMITS), seed)
    net.run(4_000)
    lives: dict[tuple[Membership, int], tuple[int, int]] = {}
    for fault in faults:
        apply(net, fault)
        net.run(net.now + 300)
        for k, host in net.hosts.items():
            core: Membership = host.core
            assert core.members[k].status is Status.ALIVE and core.members[k].version == (core.life, core.inc)
            for m, member in enumerate(core.members):
                key = (core, m)
                assert member.version >= lives.get(key, (0, 0))  # knowledge is never taken back
                lives[key] = member.version
    net.cut, net.loss = (lambda a, b: False), 0.0
    net.run(net.now + 10_000)  # stalls have ended
    if not net.living():
        return
    net.run(net.now + 30_000)
    living = set(net.living())
    for k in living:
        assert net.hosts[k].core.alive() == living, (k, faults)
