"""Case 7: see claim.txt.  Run by run.sh."""
import asyncio
import itertools
import os
import random
import shutil
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
import fleet  # noqa: E402
import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICES = ["ledger-a", "ledger-b", "ledger-c"]
ZONES = ["zone-a", "zone-b", "zone-c"]
DAEMONS = 8
ROUNDS = 32
ROUND_S = 2.8
CUT_S = 0.8
PAUSE_S = 0.15  # mean pause between the statements of a transaction
# Requests of one service a second, times of their work, and shares of writes and transactions.
LOAD = (("main-", 45, "k"), ("own-", 60, "r"))
WORK_MS = {"k": 6, "r": 18, "w": 1}
SESSIONS = {"main-": 36, "own-": 36}
WRITES = {"main-": (0.2, 0.4), "own-": (0.12, 0.12)}

record = fleet.Record()
promised = {}  # id of a write -> (promise, time)
numbers = itertools.count(1)
answers = {}  # outcome -> count
stopped = False
serial = 0


def next_id(kind):
    global serial
    serial += 1
    return "%s%s.%d" % (kind, fleet.TAG, serial)


def count(outcome):
    answers[outcome] = answers.get(outcome, 0) + 1


async def statement(caller, text, kind, note):
    ident = next_id(kind)
    record.add("sent %s %s by %d" % (ident, note, caller.number))
    return ident, await caller.query(ident, text, 2)


async def transaction(caller, kind, attempt):
    """BEGIN, writes and reads with pauses between them, COMMIT."""
    _, a = await statement(caller, "BEGIN", kind, "BEGIN")
    for i in range(random.randint(1, 3)):
        await asyncio.sleep(random.expovariate(1 / PAUSE_S))
        if i == 0 or random.random() < 0.5:
            item = "WRITE i%d x" % random.randrange(2000)
            attempt["writes"].append("%s%s.%d" % (kind, fleet.TAG, serial + 1))
        else:
            item = "READ i%d" % random.randrange(2000)
        _, a = await statement(caller, item, kind, item.split(" ")[0] + " in a transaction")
        if a.error is not None:
            if a.state != "I":
                await caller.query(next_id(kind), "ROLLBACK", 2)
            return a.error
    _, a = await statement(caller, "COMMIT", kind, "COMMIT")
    return a.error or "OK"


async def operation(caller, host, kind, attempt):
    writes, transactions = WRITES[host]
    if attempt["choice"] < transactions:
        return await transaction(caller, kind, attempt)
    if attempt["choice"] < writes + transactions:
        attempt["writes"].append("%s%s.%d" % (kind, fleet.TAG, serial + 1))
        _, a = await statement(caller, "WRITE i%d x" % random.randrange(2000), kind, "WRITE")
    else:
        _, a = await statement(caller, "READ i%d" % random.randrange(2000), kind, "READ")
    return a.error or "OK"


async def session(daemons, service, host, kind, rate):
    caller = None
    while not stopped:
        await asyncio.sleep(random.expovariate(rate))
        choice = random.random()
        # After a promise an operation is retried in full, with new ids.
        for _ in range(3):
            attempt = {"choice": choice, "writes": []}
            outcome = "no answer"
            try:
                if caller is None:
                    caller = fleet.Caller(random.choice(daemons).front)
                    caller.number = next(numbers)
                    a = await caller.open(host + service, "key-%d" % random.randrange(4))
                    if a.state is None:
                        raise ConnectionError
                outcome = await operation(caller, host, kind, attempt)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                if caller is not None:
                    caller.close()
                caller = None
            count(outcome)
            if attempt["writes"]:
                record.add("told %s for %s" % (outcome, " ".join(attempt["writes"])))
            if outcome in fleet.PROMISES:
                for ident in attempt["writes"]:
                    promised[ident] = (outcome, record.now())
            if outcome not in fleet.PROMISES or stopped:
                break
    if caller is not None:
        caller.close()


async def one_round(daemons, links):
    """One machine, which owns services, receives nothing from the others for a moment."""
    owned = [await d.owned_services() for d in daemons]
    victim = random.choice([i for i, n in enumerate(owned) if n == max(owned)])
    record.add("%s receives nothing from the other machines" % daemons[victim].name)
    links[victim].passes.clear()
    await asyncio.sleep(CUT_S)
    links[victim].passes.set()
    record.add("%s receives again" % daemons[victim].name)


def judge(platform):
    """REFUSED: a write is committed though the client was given a promise that nothing is kept."""
    kept = set()
    for service in SERVICES:
        kept.update(e[2] for e in platform.leader(service).log)
    broken = sorted((i, outcome) for i, (outcome, _) in promised.items() if i in kept)
    for ident, outcome in broken:
        record.add("kept though the client was told %s at %.3f: %s" % (outcome, promised[ident][1], ident))
    return broken


async def main():
    global stopped
    folder = tempfile.mkdtemp(prefix="review-7-")
    daemons, links = [], []
    try:
        platform = standin.Site(SERVICES, slots=3, sync=0, max_connections=22, zones=ZONES,
                                work_ms=lambda ident: WORK_MS[ident[0]])
        await platform.start()
        await fleet.write_config(platform, fleet.make_config(7, SERVICES, sync=0))
        for i in range(DAEMONS):
            d = fleet.Daemon(folder, "front-%d" % i, ZONES[i % len(ZONES)], platform.http.port, platform.duties.port)
            link = fleet.Link(d.bus)
            await link.start()
            d.options = 'bus_advertise = "tcp://127.0.0.1:%d"\n' % link.port
            links.append(link)
            daemons.append(d)
            d.start(bootstrap=True)
        if not await fleet.wait_until_served(daemons, SERVICES, 20):
            print("the fleet does not serve")
            return 2
        tasks = []
        for service in SERVICES:
            for host, per_s, kind in LOAD:
                for _ in range(SESSIONS[host]):
                    tasks.append(asyncio.create_task(
                        session(daemons, service, host, kind, per_s / SESSIONS[host])))
        await asyncio.sleep(3)
        for _ in range(ROUNDS):
            began = record.now()
            if TROUBLE:
                await one_round(daemons, links)
            await asyncio.sleep(max(0, ROUND_S - (record.now() - began)))
        stopped = True
        await asyncio.sleep(1.5)
        for t in tasks:
            t.cancel()
        broken = judge(platform)
        record.add("answers %s" % answers)
        record.write(os.path.join(HERE, "record.txt"), platform.notes)
        print("writes that were kept after a promise: %s" % broken)
        return 1 if broken else 0
    finally:
        for d in daemons:
            d.kill()
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    try:
        code = asyncio.new_event_loop().run_until_complete(main())
    except BaseException as error:  # whatever it is, it says nothing of the rule
        print("the case could not run: %r" % error)
        code = 2
    sys.stdout.flush()
    os._exit(code)  # without waiting for the tasks of the stand-ins

