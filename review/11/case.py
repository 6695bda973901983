"""A primary refuses part of its requests with BUSY, among them SET and RESET
of pooled connections; the statements that were sent behind them run with
another session's values.  See claim.txt; run.sh starts this."""
import asyncio
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-3"))
from site3 import STARTED, TROUBLE, Client, note, run_case  # noqa: E402

MACHINES = 3
SERVICES = 3
SHED_SHARE = 0.4  # srv_grey: "fail x (.4) of their requests"
SHED_S = 5.0  # for_s: the default of the bench
PAIRS = 3

asked = {}  # id of a statement: the client that sent it, its acknowledged values
found = []  # statements that ran with other values


def check_run(database):
    """PINNED: the values at the run are those acknowledged to the client."""
    def on_run(connection, number, text):
        if number not in asked:
            return
        name, values = asked[number]
        if connection.values != values:
            found.append(number)
            note(f"PINNED: {database.id} runs {number} {text} of {name} with {connection.values}; "
                 f"acknowledged to {name}: {values}")
    return on_run


async def work(client, others):
    """Single reads and writes of a session, in turn with the others."""
    while True:
        for c in (client, *others):
            number = os.urandom(8).hex()
            text = random.choice(["READ 1a4", "READ 1a4", f"WRITE 1a4 {c.name}"])
            if c.reader is None:
                try:
                    if not await c.connect():
                        raise ConnectionError
                except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                    c.reader = None
                    await asyncio.sleep(0.3)
                    continue
            asked[number] = (c.name, dict(c.acknowledged))
            await c.run(text, number)


async def case(site):
    await site.start(MACHINES, SERVICES)
    grey = site.databases[0]  # one of nine: the primary of desk-0
    for database in site.databases:
        database.on_run = check_run(database)
    clients, tasks = [], []
    for k in range(PAIRS):
        port = site.machines[k % MACHINES].front
        group = [Client(f"client-{k}a", "desk0", port, {"app.user": f"{k}a"}),
                 Client(f"client-{k}b", "desk0", port, {"app.user": f"{k}b"}),
                 Client(f"client-{k}c", "desk0", port, {})]
        clients += group
        tasks.append(asyncio.create_task(work(group[0], group[1:])))
    tasks += [asyncio.create_task(m.watch()) for m in site.machines]
    await asyncio.sleep(3)
    before = sum(c.served for c in clients)
    refused = {}

    def shed(verb):
        if random.random() >= SHED_SHARE:
            return None
        refused[verb] = refused.get(verb, 0) + 1
        return "BUSY"
    if TROUBLE:
        note(f"{grey.id} refuses {SHED_SHARE:.0%} of its requests with BUSY for {SHED_S} s")
        grey.refuses = shed
    await asyncio.sleep(SHED_S)
    grey.refuses = lambda verb: None
    note(f"refused with BUSY: {refused}")
    await asyncio.sleep(2)
    served = sum(c.served for c in clients)
    note(f"served {served} ({before} before the refusals), failed {sum(c.failed for c in clients)}, "
         f"broken off {sum(c.broken for c in clients)}; committed {len(grey.log)} writes")
    kept = [n for n in found if n in grey.log]
    note(f"PINNED {'broken' if found else 'held'}: {len(found)} statements ran with other values than those "
         f"acknowledged to their client; {len(kept)} of them are writes that were committed")
    if before < 100 or any(m.ends for m in site.machines):
        note("too few statements were served, or a process ended: the case could not run")
        return 2
    print(f"PINNED {'broken' if found else 'held'}; see record.txt")
    return int(bool(found))


run_case(pathlib.Path(__file__).resolve().parent, case)
