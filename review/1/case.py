"""One spoilt answer of one pop cache, while other requests are open: does the edge proxy live on?"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from standins import ChangeLog, Client, Order, Proxy, Record, Request, Said, Stores, run  # noqa: E402

CLIENTS, ROUNDS, TTL_MS = 3, 20, 5000
SLACK_S = 0.5  # after its time, in which an answer only earns nothing
SPOILT_ROW = "00000000000000ff"
DIGITS = 400  # of the noise in the field `since` of the spoilt answer


async def case(record: Record, trouble: bool) -> bool:
    """Whether a request was lost or the process ended."""
    stores, log = Stores(record), ChangeLog(record)
    stores.delay_s = 0.3
    noise = "".join(random.Random(37).choice("123456789") for _ in range(DIGITS))

    def reply(store: str, call: str, fields: Order) -> Said:
        word, told, body = stores.sound(store, call, fields) or ("", "", b"")
        if trouble and fields.get("k") == SPOILT_ROW:
            told = told.replace("since=", f"since={noise}")
        return word, told, body

    stores.reply = reply
    await stores.start()
    await log.start()
    proxy = Proxy(record, stores, log)
    requests: list[Request] = []
    try:
        await proxy.start()
        clients = [Client(record, f"c{n}") for n in range(CLIENTS)]
        for client in clients:
            await client.open(proxy.port)
        for k in range(ROUNDS):
            for n, client in enumerate(clients):
                if client.eof:
                    continue
                spoilt = k == ROUNDS // 2 and n == 0
                row = SPOILT_ROW if spoilt else f"{n + 1:02x}{k:014x}"
                requests.append(await client.send("pieces", row, TTL_MS))
            await asyncio.sleep(0.05)
        waits = [asyncio.create_task(r.done.wait()) for r in requests]
        await asyncio.wait(waits, timeout=TTL_MS / 1000 + SLACK_S)
        lost = [r for r in requests if not r.word or r.answers > 1 or not r.whole]
        ended = not proxy.running
        record.show(f"requests={len(requests)} lost={len(lost)} process ended={ended}")
        return bool(lost) or ended
    finally:
        await proxy.end()


run(HERE, case)
