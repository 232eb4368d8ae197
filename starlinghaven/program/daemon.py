"""Puts the parts together, answers signals and ends in order."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys

import trio

from starlinghaven.program import changelog, config
from starlinghaven.program.caches import Caches
from starlinghaven.program.platform import PlatformFront
from starlinghaven.protocol import platform
from starlinghaven.routing.clock import Clock
from starlinghaven.routing.engine import Engine
from starlinghaven.routing.types import Counters
from starlinghaven.transport.listener import Listener
from starlinghaven.transport.ring import Memory

log = logging.getLogger("starlinghaven")

RINGS = 0.35  # part of the memory limit that rings may hold; the rest is the interpreter's and answers'
RESERVE = 64  # descriptors for files, the change log, the operator's ports and what the system wants
WINDOW_S = 0.75  # seconds after SIGTERM in which new requests still come: 0.7 s, and some slack
FLUSH_S = 1.0  # seconds that the last answers may take to leave


class Daemon:
    """One edge proxy."""

    def __init__(self, cfg: config.Config) -> None:
        self.cfg = cfg
        self.counters = Counters()
        self.ready = False
        memory = Memory(int(cfg.memory_bytes * RINGS))
        clients = (cfg.sockets - RESERVE) * 2 // 5  # they hold a third of all at most
        self.engine = Engine(cfg.settings, cfg.seed, Clock(), self.counters)
        self.caches = Caches(
            self.engine,
            cfg.classes,
            memory,
            self.counters,
            dial_s=cfg.dial_s,
            streams=cfg.streams,
            idle_s=cfg.idle_s,
            most=cfg.sockets - RESERVE - clients,
        )
        self.listener = Listener(cfg.listen, memory, clients)
        self.front = PlatformFront(
            self.engine, cfg.settings, cfg.classes, self.state, self.listener, self.counters
        )
        self.log = changelog.ChangeLog(cfg.log_address, cfg.last, self.engine, memory, self.counters)

    def state(self) -> bytes:
        if self.engine.draining:
            return platform.DRAIN
        return platform.READY if self.ready else platform.UNREADY

    async def run(self) -> None:
        """Serves until SIGTERM, and then until nothing that was taken is unanswered."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGUSR1) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.caches.run)
                nursery.start_soon(self.engine.run, self.caches)
                for n, (_, news) in enumerate(self.cfg.known):
                    await self.engine.post(changelog.event(news, first=n == 0))
                await self.listener.open()
                nursery.start_soon(self.front.run)
                if self.cfg.log_address:
                    nursery.start_soon(self.log.run)
                self.ready = True
                gc.collect()
                gc.freeze()  # what lives as long as the program is not looked at again
                log.info("ready name=%s listen=%s events=%d", self.cfg.name, self.cfg.listen, self.cfg.last)
                async for number in signals:
                    if number == signal.SIGUSR1:
                        log.info("counters %s", self.counters.line())
                        continue
                    break
                await self._drain()
                nursery.cancel_scope.cancel()
        log.info("counters %s", self.counters.line())
        log.info("stopped")

    async def _drain(self) -> None:
        """New requests go on coming for a while after SIGTERM: they are taken and answered too."""
        log.info("draining open=%d", self.engine.open_requests)
        self.engine.draining = True
        await trio.sleep(WINDOW_S)
        await self.engine.quiet()
        with trio.move_on_after(FLUSH_S):
            while self.front.unsent:
                await trio.sleep(0.005)


async def serve(cfg: config.Config) -> None:
    await Daemon(cfg).run()


def main() -> int:
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s %(message)s"
    )
    gc.set_threshold(20_000, 20, 50)
    try:
        trio.run(serve, config.load(os.environ))
    except (config.ConfigError, ValueError) as error:
        print(f"starlinghaven: {error}", file=sys.stderr)
        return 2
    return 0
