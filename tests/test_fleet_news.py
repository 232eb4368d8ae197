"""What the Router makes of other proxies' news, and what it tells them."""

from __future__ import annotations

from starlinghaven.decisions import health
from starlinghaven.interface import Action, Heard, ListKind, Members, Notes, Tell, Timer
from tests.helpers import Driver, cache, stores_named


def sources(d: Driver, n: int = 30) -> set[str]:
    return {d.serve(f"new-{d.next_id}-{k}").source for k in range(n)}


def test_news_alone_rests_nobody() -> None:
    d = Driver(tells=True)
    d.say(Heard("parent-0", silent=39, serving=0))
    assert sources(d) == {"parent-0", "parent-1"}


def test_news_with_a_little_evidence_of_its_own_rests_a_silent_store_early() -> None:
    d = Driver(tells=True)
    d.router.stores["parent-0"].failed(0.3, d.now)  # two late answers or so: below SICK
    assert sources(d) == {"parent-0", "parent-1"}
    d.say(Heard("parent-0", silent=health.VOICES - 1, serving=0))
    assert sources(d) == {"parent-0", "parent-1"}, "one voice may be that of a sick proxy"
    d.say(Heard("parent-0", silent=health.VOICES, serving=0))
    assert sources(d) == {"parent-1"}


def test_voices_that_say_it_serves_count_against_those_that_say_it_is_silent() -> None:
    d = Driver(tells=True)
    d.router.stores["parent-0"].failed(0.3, d.now)
    d.say(Heard("parent-0", silent=4, serving=3))
    assert sources(d) == {"parent-0", "parent-1"}


def test_news_that_has_aged_out_is_forgotten() -> None:
    d = Driver(tells=True)
    d.say(Heard("parent-0", silent=9, serving=0))
    d.say(Heard("parent-0", silent=0, serving=0))
    d.router.stores["parent-0"].failed(0.3, d.now)
    assert sources(d) == {"parent-0", "parent-1"}


def test_trouble_that_all_parents_share_is_nobodys_own_whatever_is_said() -> None:
    d = Driver(tells=True)
    for n in (0, 1):
        d.router.stores[f"parent-{n}"].failed(0.3, d.now)
        d.say(Heard(f"parent-{n}", silent=9, serving=0))
    assert sources(d) == {"parent-0", "parent-1"}


def test_a_store_that_the_own_list_has_not_named_is_never_sent_to() -> None:
    d = Driver(tells=True)
    assert d.say(Heard("cache-9", silent=0, serving=30)) == []
    named: set[str] = set()
    for n in range(40):
        named |= stores_named(d.ask(f"k{n}"))
    assert "cache-9" not in named
    d.say(Members(ListKind.PARTIAL, (cache(9),)))
    assert d.router.stores["cache-9"].named == 0  # what was said before it was listed is gone


def told(actions: list[Action]) -> list[Tell]:
    return [a for a in actions if isinstance(a, Tell)]


def test_it_tells_once_when_a_store_rests_and_once_when_it_is_well_again() -> None:
    d = Driver(tells=True, notes=Notes.NONE)
    sick = d.router.stores["parent-0"]
    sick.failed(0.7, d.now)
    said = [t for n in range(30) for t in told(d.ask(f"a{n}"))]
    assert said == [Tell("parent-0", silent=True)]
    sick.worked(0.9)
    assert told(d.say(Timer(0))) == [Tell("parent-0", silent=False)]
    assert told(d.say(Timer(0))) == []


def test_what_it_rests_on_others_word_it_does_not_tell_as_its_own() -> None:
    """Else two voices would become all voices."""
    d = Driver(tells=True)
    d.router.stores["parent-0"].failed(0.3, d.now)
    d.say(Heard("parent-0", silent=5, serving=0))
    said = [t for n in range(30) for t in told(d.ask(f"a{n}"))]
    assert said == [] and d.router.resting() == {"parent-0"}


def test_without_peers_nothing_is_told() -> None:
    d = Driver()
    d.router.stores["parent-0"].failed(0.7, d.now)
    assert [t for n in range(30) for t in told(d.ask(f"a{n}"))] == []
