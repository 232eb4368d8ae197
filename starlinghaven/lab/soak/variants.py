"""Faults put into the program on purpose: each proves that a checker of the soak finds what it is for."""

from __future__ import annotations

from dataclasses import dataclass
from textwrap import dedent

START = """
from starlinghaven.program.signals import hold
hold()
{patch}
from starlinghaven.program.daemon import main
raise SystemExit(main())
"""


@dataclass(frozen=True, slots=True)
class Variant:
    """A fault, and the checker that must find it."""

    patch: str
    checker: str

    @property
    def code(self) -> str:
        """Python code that runs the program with the fault in it."""
        return START.format(patch=dedent(self.patch))


VARIANTS = {
    "overlooks-unread-cancels": Variant(
        """
        from starlinghaven.protocol.unread import UnreadCancels
        UnreadCancels.look = lambda *_: None
        """,
        "nothing_for_clients_gone",
    ),
    "no-lease": Variant(
        """
        from starlinghaven.routing.lease import NewsLease
        NewsLease.covers = lambda *_: True
        """,
        "purges_heeded",
    ),
    "refuses-always": Variant(
        """
        from starlinghaven.decisions.execution import ExecutionRecord
        ExecutionRecord.may_refuse = property(lambda _: True)
        """,
        "effects_kept",
    ),
    "repeats-anywhere": Variant(
        """
        from starlinghaven.decisions.execution import ExecutionRecord
        ExecutionRecord.denial = lambda *_: None
        ExecutionRecord.may_repeat = property(lambda _: True)
        ExecutionRecord.window_left_ms = lambda *_: float("inf")
        """,
        "effects_kept",
    ),
    "believes-short-answers": Variant(
        """
        from starlinghaven.protocol import caches
        parse = caches.parse
        caches.parse = lambda words: parse([*words, b"-", b""][:4] if len(words) < 4 else words)
        """,
        "effects_kept",
    ),
    "copy-gone-refuses": Variant(
        """
        from starlinghaven import interface
        from starlinghaven.decisions.execution import ExecutionRecord
        from starlinghaven.router import Router
        from starlinghaven.routing.guard import Guard
        def serve(router, job, out):
            del router.jobs[job.r.id]
            out.append(interface.Serve(job.r.id, interface.Refuse(job.r.id)))
        Router._serve = serve
        Guard.allowed = lambda _, request, answer: answer
        """,
        "effects_kept",
    ),
    "forgets-drops": Variant(
        """
        from starlinghaven.program.caches import CacheLink
        CacheLink.give_up = lambda link, attempt: link.out.pop(attempt.ask.id, None) and link.done()
        """,
        "never_two_at_once",
    ),
    "ignores-drains": Variant(
        """
        from dataclasses import replace
        from starlinghaven import interface
        from starlinghaven.routing.store_table import StoreTable
        place = StoreTable._place
        StoreTable._place = lambda table, s: place(table, replace(s, phase=interface.Phase.UP))
        """,
        "drains_heeded",
    ),
    "no-cold-budget": Variant(
        """
        from starlinghaven.decisions.cold import ColdBudgets
        ColdBudgets.warmth = lambda *_: 1.0
        """,
        "cold_budgets_kept",
    ),
    "forgets-exclusions": Variant(
        """
        from starlinghaven.program.operations.handover import Handover
        Handover.keep = lambda *_: True
        """,
        "exclusions_kept",
    ),
    "answers-twice": Variant(
        """
        from starlinghaven.program.fronts.platform import Client
        say = Client._say
        Client._say = lambda *told: (say(*told), say(*told))
        """,
        "one_final_answer",
    ),
    "forgets-answers": Variant(
        """
        import random
        from starlinghaven.program.fronts.platform import Client
        say = Client._say
        Client._say = lambda *told: random.random() < 0.02 or say(*told)
        """,
        "one_final_answer",
    ),
    "cuts-answers": Variant(
        """
        from starlinghaven.protocol import platform
        served = platform.served
        platform.served = lambda tag, body: served(tag, body[:-1])
        """,
        "answers_whole",
    ),
    "asks-for-any-age": Variant(
        """
        from starlinghaven.protocol import caches
        from dataclasses import replace
        get = caches.get
        caches.get = lambda order: get(replace(order, age_ms=10 * order.age_ms))
        """,
        "answers_whole",
    ),
    "goes-on-for-clients-gone": Variant(
        """
        from starlinghaven.program.fronts.platform import Client, _Ticket
        async def withdraw(client, tag):
            client.open.pop(tag, None)
        Client.withdraw = withdraw
        _Ticket.left = property(lambda _: False)
        """,
        "nothing_for_clients_gone",
    ),
    "passes-long-deadlines": Variant(
        """
        from starlinghaven.protocol import caches
        from dataclasses import replace
        get = caches.get
        caches.get = lambda order: get(replace(order, wait_ms=order.wait_ms + 400))
        """,
        "deadlines_passed_on",
    ),
    "one-attempt-too-many": Variant(
        """
        from dataclasses import replace
        from starlinghaven.routing import engine
        init = engine.Engine.__init__
        def wider(self, settings, *rest, **more):
            init(self, replace(settings, most_attempts=settings.most_attempts + 2), *rest, **more)
        engine.Engine.__init__ = wider
        """,
        "attempts_allowed",
    ),
    "asks-in-any-zone": Variant(
        """
        from starlinghaven import interface
        from starlinghaven.decisions.topology import Topology
        update = Topology.update
        def wider(topology, event):
            update(topology, event)
            up = [s for s in topology.stores.values() if s.m.phase is interface.Phase.UP]
            topology.caches = [s for s in up if s.m.kind == 0]
        Topology.update = wider
        """,
        "attempts_allowed",
    ),
    "keeps-descriptors": Variant(
        """
        import os
        from starlinghaven.program.fronts.platform import Client
        call = Client._call
        def keep(client, told):
            for _ in range(4):
                os.dup(2)
            call(client, told)
        Client._call = keep
        """,
        "limits_kept",
    ),
    "keeps-memory": Variant(
        """
        from starlinghaven.program.fronts.platform import Client
        call, kept = Client._call, []
        Client._call = lambda client, told: (kept.append(b"x" * 2**19), call(client, told))
        """,
        "limits_kept",
    ),
    "long-datagrams": Variant(
        """
        from starlinghaven.fleet import swim
        encode = swim.encode
        swim.encode = lambda datagram: encode(datagram) + bytes(240)
        """,
        "datagrams_kept",
    ),
    "refuses-large": Variant(
        """
        from starlinghaven.routing import engine
        take = engine.Engine._take
        def refuse(self, event):
            if event.ask.size_kb > 400:
                self._tell(event, engine.Answer(engine.Result.REFUSED))
            else:
                take(self, event)
        engine.Engine._take = refuse
        """,
        "largest_answered",
    ),
    "writes-in-place": Variant(
        """
        from starlinghaven.program.operations.handover import Handover
        def write(handover, name, text):
            try:
                with open(handover._path(name), "w") as file:
                    file.write(text)
            except OSError:
                return False
            return True
        Handover._write = write
        """,
        "exclusions_kept",
    ),
    "falls-on-a-passing-error": Variant(
        """
        from starlinghaven.transport import errors
        errors.of_accept = lambda error: errors.Meaning.BROKEN
        """,
        "processes_live",
    ),
    "waits-for-the-log": Variant(
        """
        import time
        from starlinghaven.program import daemon
        time.sleep(11)
        """,
        "processes_live",
    ),
}
