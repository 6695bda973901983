"""Case 9: see claim.txt.  Run by run.sh."""
import asyncio
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
DAEMONS = 6
ROUNDS = 13
ROUND_S = 7.5  # longer than each of the disruptions, so that none is there twice at a time
SLOW = 5.0
# Requests of one service a second, and the times of their work: a third of those of mwakyusa-lend.
LOAD = (("main-", 18, "k"), ("browse-", 18, "c"), ("own-", 84, "r"))
WORK_MS = {"k": 6, "c": 30, "r": 18, "w": 1}
SESSIONS = {"main-": 9, "browse-": 9, "own-": 36}
WRITES = {"main-": (0.2, 0.4), "browse-": (0, 0.1), "own-": (0.12, 0.12)}

record = fleet.Record()
acked = {}   # statement id -> (service, time of the acknowledgement)
answers = {}  # outcome -> count
stopped = False
serial = 0


def next_id(kind):
    global serial
    serial += 1
    return "%s%s.%d" % (kind, fleet.TAG, serial)


def count(outcome):
    answers[outcome] = answers.get(outcome, 0) + 1


async def operation(caller, service, host, kind):
    """One statement or transaction; returns the outcome."""
    writes, transactions = WRITES[host]
    x = random.random()
    if x >= writes + transactions:
        a = await caller.query(next_id(kind), "READ i%d" % random.randrange(2000), 1.2)
        return a.error or "OK"
    if x < writes:
        ident = next_id(kind)
        record.add("sent %s %s WRITE" % (service, ident))
        a = await caller.query(ident, "WRITE i%d x" % random.randrange(2000), 1.2)
        if a.error is None and a.signature not in (None, "-"):
            acked[ident] = (service, record.now())
            record.add("acknowledged %s %s at %s" % (service, ident, a.position))
        return a.error or "OK"
    reads = host == "browse-"
    a = await caller.query(next_id(kind), "BEGIN READ" if reads else "BEGIN", 1.2)
    written = []
    for _ in range(random.randint(1, 3)):
        if a.error is not None:
            break
        ident = next_id(kind)
        if not reads and random.random() < 0.5:
            record.add("sent %s %s WRITE in a transaction" % (service, ident))
            a = await caller.query(ident, "WRITE i%d x" % random.randrange(2000), 1.2)
            written.append(ident)
        else:
            a = await caller.query(ident, "READ i%d" % random.randrange(2000), 1.2)
    if a.error is not None:
        if a.state != "I":
            await caller.query(next_id(kind), "ROLLBACK", 1.2)
        return a.error
    a = await caller.query(next_id(kind), "COMMIT", 1.2)
    if a.error is None and a.signature not in (None, "-"):
        for ident in written:
            acked[ident] = (service, record.now())
            record.add("acknowledged %s %s at %s" % (service, ident, a.position))
    return a.error or "OK"


async def session(daemons, service, host, kind, rate):
    caller = None
    while not stopped:
        await asyncio.sleep(random.expovariate(rate))
        try:
            if caller is None:
                caller = fleet.Caller(random.choice(daemons).front)
                a = await caller.open(host + service, "key-%d" % random.randrange(4))
                if a.state is None:
                    raise ConnectionError
            count(await operation(caller, service, host, kind))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            count("no answer")
            if caller is not None:
                caller.close()
            caller = None
    if caller is not None:
        caller.close()


async def one_round(platform, service):
    """One replica receives nothing for a while, and the primary crashes meanwhile."""
    primary = platform.leader(service)
    replicas = [d for d in platform.databases if d.service == service and d is not primary and d.up]
    if primary is None or not primary.up or len(replicas) != 2:
        record.add("round left out for %s" % service)
        return
    behind = random.choice(replicas)
    behind.deaf = True
    platform.note("deaf", behind.id)
    await asyncio.sleep(2)
    other = next(d for d in replicas if d is not behind)
    other.slow = SLOW
    platform.note("slow", other.id)
    await asyncio.sleep(1)
    await primary.crash()
    await asyncio.sleep(3.5)
    behind.deaf = False
    platform.note("hears", behind.id)
    await asyncio.sleep(2)
    other.slow = 1.0
    platform.note("not slow", other.id)
    await asyncio.sleep(1.5)
    await primary.start()
    platform.note("back", primary.id)


def judge(platform):
    """LOST: an acknowledged commit isn't in the log of the database that is promoted."""
    broken = []
    known = set()
    for at, service, target, log in platform.promotions:
        ids = set(log)
        lost = sorted((t, i) for i, (s, t) in acked.items()
                      if s == service and t + record.began < at and i not in ids and i not in known)
        known.update(i for _, i in lost)
        record.add("judged promotion of %s at %.3f: %d acknowledged commits are not in its log %s"
                   % (target, at - record.began, len(lost), [i for _, i in lost[:10]]))
        if lost:
            broken.append((target, len(lost)))
    return broken


async def main():
    global stopped
    folder = tempfile.mkdtemp(prefix="review-9-")
    daemons = []
    try:
        platform = standin.Site(SERVICES, slots=3, sync=1, max_connections=22, zones=ZONES,
                                work_ms=lambda ident: WORK_MS[ident[0]])
        await platform.start()
        await fleet.write_config(platform, fleet.make_config(7, SERVICES, sync=1))
        for i in range(DAEMONS):
            d = fleet.Daemon(folder, "front-%d" % i, ZONES[i % len(ZONES)], platform.http.port, platform.duties.port)
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
        rounds = []
        for i in range(ROUNDS):
            if TROUBLE:
                rounds.append(asyncio.create_task(one_round(platform, SERVICES[i % len(SERVICES)])))
            await asyncio.sleep(ROUND_S)
        await asyncio.gather(*rounds)
        stopped = True
        await asyncio.sleep(1.5)
        for t in tasks:
            t.cancel()
        broken = judge(platform)
        record.add("answers %s" % answers)
        record.write(os.path.join(HERE, "record.txt"), platform.notes)
        if TROUBLE and not platform.promotions:
            print("nothing was promoted")
            return 2
        print("promotions %d, of them without acknowledged commits: %s" % (len(platform.promotions), broken))
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

