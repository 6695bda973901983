"""Case 8: see claim.txt.  Run by run.sh."""
import asyncio
import os
import random
import shutil
import signal
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
GAP_S = 2.0       # between the replacements of two machines
GRACE_S = 6.0
DOWN_S = 0.5      # after the final fault
RECOVERY_S = 12.0
OBSERVE_S = 45.0  # after the time for the recovery
KINDS = (("main-", "k"), ("browse-", "c"), ("own-", "r"))
WORK_MS = {"k": 3, "c": 15, "r": 9, "w": 1}

record = fleet.Record()
asked = []  # (time, whether it was served)
stopped = False
serial = 0


async def caller(daemons):
    """A session that reads and writes now and then; it reconnects to another daemon that is up."""
    global serial
    c = None
    while not stopped:
        await asyncio.sleep(random.expovariate(2))
        serial += 1
        host, kind = random.choice(KINDS)
        text = "WRITE i%d x" % serial if random.random() < 0.3 and host != "browse-" else "READ i%d" % serial
        ident = "%s%s.%d" % (kind, fleet.TAG, serial)
        sent, outcome = record.now(), "no answer"
        # An operation may be sent three times, each time to another daemon.
        for _ in range(3):
            try:
                if c is None:
                    up = [d for d in daemons if d.process.poll() is None]
                    c = fleet.Caller(random.choice(up or daemons).front)
                    a = await c.open(host + random.choice(SERVICES), "key-%d" % random.randrange(4))
                    if a.state is None:
                        outcome = a.error
                        raise ConnectionError
                a = await c.query(ident, text, 1.0)
                outcome = a.error or "OK"
                if outcome == "OK":
                    break
                raise ConnectionError
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                if c is not None:
                    c.close()
                c = None
                await asyncio.sleep(0.05)
        asked.append((sent, outcome == "OK"))
        record.add("%s %s sent at %.3f: %s" % (ident, text, sent, outcome))
        if c is not None and random.random() < 0.2:
            c.close()
            c = None
    if c is not None:
        c.close()


async def stop(daemon):
    """Planned: SIGTERM, and SIGKILL after the grace time.  The machine does not come back."""
    daemon.signal(signal.SIGTERM)
    record.add("SIGTERM %s" % daemon.name)
    await asyncio.sleep(GRACE_S)
    daemon.kill()
    record.add("%s is gone for good" % daemon.name)


def share(begin, end):
    found = [ok for t, ok in asked if begin <= t < end]
    return len(found), sum(found)


async def main():
    global stopped
    folder = tempfile.mkdtemp(prefix="review-8-")
    everything = []
    try:
        platform = standin.Site(SERVICES, slots=2, max_connections=32, zones=ZONES, work_ms=lambda i: WORK_MS[i[0]])
        await platform.start()
        await fleet.write_config(platform, fleet.make_config(7, SERVICES, max_connections=32))

        def create(i, generation, bootstrap):
            d = fleet.Daemon(folder, "front-%d-%d" % (i, generation), ZONES[i % len(ZONES)], platform.http.port,
                             platform.duties.port)
            everything.append(d)
            d.start(bootstrap)
            record.add("start %s" % d.name)
            return d
        daemons = [create(i, 1, True) for i in range(DAEMONS)]
        if not await fleet.wait_until_served(daemons, SERVICES, 20):
            print("the fleet does not serve")
            return 2
        tasks = [asyncio.create_task(caller(daemons)) for _ in range(40)]
        await asyncio.sleep(4)
        before = record.now()
        for i in range(DAEMONS):
            if TROUBLE:
                old, daemons[i] = daemons[i], create(i, 2, False)
                await asyncio.sleep(1)
                tasks.append(asyncio.create_task(stop(old)))
                await asyncio.sleep(GAP_S - 1)
            else:
                await asyncio.sleep(GAP_S)
        # The final fault: all processes are killed at the same moment.
        fault = record.now()
        for d in everything:
            d.kill()
        record.add("all processes are killed")
        await asyncio.sleep(DOWN_S)
        for d in daemons:
            d.start(bootstrap=False)
        back = record.now()
        record.add("the machines are back")
        await asyncio.sleep(RECOVERY_S + OBSERVE_S)
        stopped = True
        owed_before, served_before = share(before, fault)
        owed, served = share(back + RECOVERY_S, back + RECOVERY_S + OBSERVE_S - 5)
        text = ("before the final fault %d of %d requests were served; later than %g s after the machines were back "
                "%d of %d" % (served_before, owed_before, RECOVERY_S, served, owed))
        record.add(text)
        record.write(os.path.join(HERE, "record.txt"), platform.notes)
        print(text)
        if owed == 0 or served_before * 4 < owed_before:
            return 2
        return 1 if served * 4 < owed else 0
    finally:
        for d in everything:
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
