"""Stand-ins for the users' platform and its databases, after PROTOCOL.md.

One process: the object store (HTTP), the promotion service (HTTP) and the
databases (line protocol), all on 127.0.0.1.  A test drives it as a library.
"""
import asyncio
import json
import math
import random
import time
import urllib.parse

HISTORY_S = 20


def now():
    return time.monotonic()


class Http:
    """A small HTTP/1.1 server; handler(method, path, query, headers, body) -> (status, object)."""

    def __init__(self, handler, delay=0.004):
        self.handler = handler
        self.delay = delay
        self.server = None
        self.port = 0
        self.tasks = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while True:
                    line = (await reader.readline()).decode().strip()
                    if not line:
                        break
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = b""
                if "content-length" in headers:
                    body = await reader.readexactly(int(headers["content-length"]))
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query))
                await asyncio.sleep(self.delay)
                status, answer = await self.handler(method, path, query, headers, json.loads(body) if body else None)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


class Store:
    """The platform's store: objects by kind and name, one revision counter, watches."""

    def __init__(self):
        self.revision = 10
        self.objects = {}
        self.events = []  # (revision, time, kind, object, deleted)
        self.dropped = 0  # revision up to which the history is gone
        self.changed = asyncio.Condition()

    def kind(self, kind):
        return self.objects.setdefault(kind, {})

    async def put(self, kind, name, spec):
        """Write as the operator and the databases do."""
        old = self.kind(kind).get(name)
        if old is not None and old["spec"] == spec:
            return old
        return await self.change(kind, name, spec, old)

    async def change(self, kind, name, spec, old):
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "finalizers": [], "deleting": False,
                "create-rev": old["meta"]["create-rev"] if old else self.revision}
        new = {"meta": meta, "spec": spec, "status": old["status"] if old else {}}
        self.kind(kind)[name] = new
        await self.tell(kind, new, False)
        return new

    async def remove(self, kind, name):
        old = self.kind(kind).pop(name, None)
        if old is None:
            return
        self.revision += 1
        gone = {"meta": dict(old["meta"], revision=self.revision), "spec": old["spec"], "status": old["status"]}
        await self.tell(kind, gone, True)

    async def tell(self, kind, new, deleted):
        self.events.append((self.revision, now(), kind, new, deleted))
        while self.events and now() - self.events[0][1] > HISTORY_S:
            self.dropped = self.events.pop(0)[0]
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, method, path, query, headers, body):
        parts = [urllib.parse.unquote(p) for p in path.split("/")]
        if parts[1:3] != ["v1", "objects"] or len(parts) < 4:
            return 404, {}
        kind = parts[3]
        name = parts[4] if len(parts) > 4 else None
        if method == "GET" and name is None and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait-ms", 0)))
        if method == "GET" and name is None:
            items = sorted((o for o in self.kind(kind).values() if o["meta"]["name"] > query.get("after", "")),
                           key=lambda o: o["meta"]["name"])
            return 200, {"items": items[:500], "has-more": len(items) > 500, "store-revision": self.revision}
        if method == "GET":
            found = self.kind(kind).get(name)
            return (200, found) if found else (404, {})
        if method == "POST":
            name = body["meta"]["name"]
            old = self.kind(kind).get(name)
            if old:
                return 409, old
            return 200, await self.change(kind, name, body.get("spec"), None)
        old = self.kind(kind).get(name)
        if old is None:
            return 404, {}
        wanted = query.get("revision") if method == "DELETE" else (body.get("meta") or {}).get("revision")
        if wanted is not None and int(wanted) != old["meta"]["revision"]:
            return 409, old
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, {}
        if old["spec"] == body.get("spec"):
            return 200, old
        return 200, await self.change(kind, name, body.get("spec"), old)

    async def watch(self, kind, since, wait_ms):
        end = now() + wait_ms / 1000
        while True:
            if since < self.dropped or since > self.revision:
                return 410, {}
            found = [{"object": o, "deleted": d} for r, _, k, o, d in self.events if k == kind and r > since]
            left = end - now()
            if found or left <= 0:
                return 200, {"events": found, "store-revision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Database:
    """One database of a service."""

    def __init__(self, site, service, index, zone):
        self.site = site
        self.service = service
        self.id = "i-%s-%d" % (service, index)
        self.zone = zone
        self.primary = index == 0
        self.seen = None  # (term, time) since when a replaced primary has known its successor
        self.ordered = False
        self.term = 1
        self.log = []  # (term, number, statement id, item)
        self.server = None
        self.port = 0
        self.up = False
        self.deaf = False
        self.slow = 1.0
        self.busy_until = 0
        self.slots = asyncio.Semaphore(site.slots)
        self.waiting = 0
        self.connections = set()
        self.born = 0
        self.sequence = 0
        self.received = asyncio.Condition()
        self.state = "ready"
        self.lose = 0.0      # share of the answers that are lost
        self.limit_ms = 0    # a single write that took longer is answered with TIMEOUT; 0: there is no limit

    def position(self):
        return (self.log[-1][0], self.log[-1][1]) if self.log else (1, 0)

    async def start(self):
        """Start, or start again with the log that it had, as a replica if another database was promoted."""
        leader = self.site.leader(self.service)
        self.primary = leader is None or leader is self
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 21)
        self.port = self.server.sockets[0].getsockname()[1]
        self.up = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.report()

    async def report(self):
        self.sequence += 1
        if self.up:
            await self.site.store.put("servers", self.id, {
                "service": self.service, "address": "127.0.0.1:%d" % self.port, "zone": self.zone,
                "config-version": "v1", "slots": self.site.slots, "state": self.state, "cold-left-ms": 0,
                "sequence": self.sequence, "db-role": "primary" if self.primary else "replica",
                "born": self.born})

    async def crash(self):
        """The process ends; its log is kept."""
        self.up = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.site.note("crash", self.id)

    # Work.

    async def work(self, ms, queue=16):
        """Occupy a slot.  Returns False if there was no room (BUSY)."""
        if self.waiting >= queue or now() < self.busy_until:
            return False
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            await asyncio.sleep(ms / 1000)
        finally:
            self.slots.release()
        return True

    def sample(self, text):
        """Time of a read, a write or a commit, spread as in the site files."""
        mean = self.site.work_ms(text)
        return min(mean * math.exp(random.gauss(-0.245, 0.7)), mean * 7.3) * self.slow

    async def commit(self, writes):
        """Append the writes to the log and replicate them; False: the lead was lost."""
        if not self.primary or not self.up:
            return False
        number = self.position()[1] + 1
        entries = [(self.term, number, i, item) for i, item in writes]
        self.log.extend(entries)
        self.site.ran(self, entries)
        receivers = [self.site.loop.create_task(d.receive(self, entries))
                     for d in self.site.databases if d.service == self.service and d is not self]
        if self.site.sync:
            pending = set(receivers)
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                if any(t.result() for t in done):
                    return self.up
            # No replica has it: the commit waits until one has.
            while self.up and self.primary:
                await asyncio.sleep(0.02)
                if any(d.up and not d.primary and d.position() >= entries[-1][:2] and d.service == self.service
                       for d in self.site.databases):
                    return True
            return False
        return True

    async def receive(self, source, entries):
        await asyncio.sleep(0.0007)
        if not self.up or self.deaf or self.primary or not source.up or self.term > source.term:
            return False
        return self.catch_up(source)

    def catch_up(self, source):
        """Take the log of the primary; what is not in it is rolled back."""
        if not self.up or self.deaf or not source.up:
            return False
        common = len(self.log) if self.log and self.log[-1] in source.log[len(self.log) - 1:len(self.log)] else 0
        while common < min(len(self.log), len(source.log)) and self.log[common] == source.log[common]:
            common += 1
        if common < len(self.log):
            self.site.note("rolled_back", "%s %s" % (self.id, [e[2] for e in self.log[common:]]))
            self.busy_until = now() + 0.1
        self.log = list(source.log)
        self.term = source.term
        return True

    # The line protocol.

    async def serve(self, reader, writer):
        if not self.up:
            writer.transport.abort()
            return
        self.connections.add(writer)
        session = {"tenant": None, "state": "I", "reads": False, "writes": [], "prepared": {}, "term": 0}

        def send(*lines):
            writer.write("".join(line + "\r\n" for line in lines).encode())

        def ready():
            t, n = self.position()
            return "READY %s %d.%d" % (session["state"], t, n)
        try:
            if len(self.connections) > self.site.max_connections:
                await reader.readuntil(b"\r\n")
                send("ERROR TOOMANY too many connections")
                return
            await self.work(12, queue=1 << 20)
            while self.up:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                if line == "RELEASE":
                    break
                if session["tenant"] is None:
                    words = line.split(" ")
                    if words[0] != "START" or words[1] != self.service or (len(words) > 3 and words[3] != self.id):
                        send("ERROR MISROUTED %s" % self.id)
                        break
                    session["tenant"] = words[2] if len(words) > 2 else ""
                    if random.random() >= self.lose:
                        send(ready())
                    continue
                _, ident, text = line.split(" ", 2)
                lines = await self.query(session, ident, text)
                if not self.up:
                    break
                if ident != "-" and random.random() < self.lose:
                    continue
                send(*lines, ready())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def fail(self, session, code):
        if session["state"] == "T":
            session["state"] = "E"
            session["writes"] = []
        return ["ERROR %s %s" % (code, self.id)]

    async def query(self, session, ident, text):
        after = None
        arrived = now()
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
            after = tuple(int(x) for x in after.split("."))
        verb, _, rest = text.partition(" ")
        if session["state"] == "E" and verb not in ("COMMIT", "ROLLBACK"):
            return ["ERROR MALFORMED failed"]
        if verb == "STATUS":
            if not await self.work(1):
                return ["ERROR BUSY no slot"]
            t, n = self.position()
            return ["ROW %s %d %d.%d 0 0 %d %d" % ("primary" if self.primary else "replica", self.term, t, n,
                                                    self.site.slots, len(self.connections)), "COMPLETE -"]
        if verb == "SET":
            return ["COMPLETE -"]
        if verb == "RESET":
            session["prepared"] = {}
            return ["COMPLETE -"]
        if verb == "PREPARE":
            name, mode, shape = rest.split(" ", 2)
            session["prepared"][name] = (mode, shape)
            return ["COMPLETE -"]
        if verb == "DEALLOC":
            session["prepared"].pop(rest, None)
            return ["COMPLETE -"]
        lost_lead = session["state"] == "T" and not session["reads"] and (
            not self.primary or self.term != session["term"])
        if after is not None and self.position() < after:
            return self.fail(session, "LAGGING")
        if verb == "BEGIN":
            if rest != "READ" and not self.primary:
                return self.fail(session, "READONLY")
            session.update(state="T", reads=rest == "READ", writes=[], term=self.term)
            return ["COMPLETE -"]
        if verb == "ROLLBACK":
            session.update(state="I", writes=[])
            return ["COMPLETE -"]
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session["prepared"]:
                return self.fail(session, "NOSTMT")
            verb = session["prepared"][name][0]
        if verb == "COMMIT" and session["state"] == "E":
            session.update(state="I", writes=[])
            return ["ERROR ABORTED failed"]
        if lost_lead and not (verb == "COMMIT" and not session["writes"]):
            return self.fail(session, "READONLY")
        if verb == "WRITE" and not self.primary:
            return self.fail(session, "READONLY")
        if not await self.work(self.sample(ident)):
            return self.fail(session, "BUSY")
        if not self.up:
            return []
        signature = "%x.%s.%d" % (random.getrandbits(48), self.id, self.site.count())
        if verb == "WRITE" and session["state"] == "T":
            session["writes"].append((ident, rest.split(" ")[0]))
        elif verb == "WRITE" or (verb == "COMMIT" and session["writes"]):
            writes = session["writes"] if verb == "COMMIT" else [(ident, rest.split(" ")[0])]
            lost = not self.primary or (verb == "COMMIT" and self.term != session["term"])
            session.update(state="I", writes=[])
            if lost or not await self.commit(writes):
                return ["ERROR READONLY %s" % self.id] if lost else []
            if verb == "WRITE" and self.limit_ms and (now() - arrived) * 1000 > self.limit_ms:
                return ["ERROR TIMEOUT %s" % self.id]
        elif verb == "COMMIT":
            session.update(state="I", writes=[])
        rows = ["ROW %s" % random.getrandbits(32)] if verb == "READ" else []
        return rows + ["COMPLETE %s" % signature]


class Site:
    """The store, the promotion service and the databases."""

    def __init__(self, services, per_service=3, slots=3, sync=0, max_connections=22, promote_s=1.0,
                 zones=("zone-a", "zone-b", "zone-c"), work_ms=lambda text: 18):
        self.loop = asyncio.get_running_loop()
        self.store = Store()
        self.slots = slots
        self.sync = sync
        self.max_connections = max_connections
        self.promote_s = promote_s
        self.work_ms = work_ms
        self.serial = 0
        self.notes = []
        self.runs = {}        # statement id -> number of times that it was appended to a log
        self.promotions = []  # (time, service, new primary, ids of its log)
        self.databases = [Database(self, s, i, zones[(i + k) % len(zones)])
                          for k, s in enumerate(services) for i in range(per_service)]
        self.http = Http(self.store.handle)
        self.duties = Http(self.promote)

    def count(self):
        self.serial += 1
        return self.serial

    def note(self, event, text):
        self.notes.append((now(), event, text))

    def ran(self, database, entries):
        for entry in entries:
            self.runs[entry[2]] = self.runs.get(entry[2], 0) + 1

    async def start(self):
        await self.http.start()
        await self.duties.start()
        for d in self.databases:
            await d.start()
        self.loop.create_task(self.beat())
        self.loop.create_task(self.replicate())

    async def beat(self):
        """Heartbeats; an entry goes after three intervals of silence."""
        last = {d.id: now() for d in self.databases}
        while True:
            await asyncio.sleep(0.1)
            for d in self.databases:
                if d.up and now() - last[d.id] > 1.2:
                    last[d.id] = now()
                    await d.report()
                elif not d.up and now() - last[d.id] > 3.6:
                    await self.store.remove("servers", d.id)

    async def replicate(self):
        """Replicas that reach their primary follow its log, also after they were away."""
        while True:
            await asyncio.sleep(0.008)
            for d in self.databases:
                source = self.leader(d.service)
                if source is None or source is d or not d.up or d.deaf or not source.up:
                    continue
                if d.primary and d.term < source.term:
                    if d.seen is None or d.seen[0] != source.term:
                        d.seen = (source.term, now())
                    if now() - d.seen[1] < 1:
                        continue
                    d.primary = False
                    await d.report()
                if not d.primary and (len(d.log) != len(source.log) or d.log[-1:] != source.log[-1:]):
                    d.catch_up(source)
                d.term = max(d.term, source.term) if not d.primary else d.term

    def leader(self, service):
        leaders = [d for d in self.databases if d.service == service and d.primary]
        return max(leaders, key=lambda d: d.term) if leaders else None

    async def promote(self, method, path, query, headers, body):
        if method != "POST" or path != "/promote":
            return 404, {}
        target = next((d for d in self.databases if d.id == body.get("id") and d.service == body.get("service")), None)
        self.note("order", "%s %s holder=%s token=%s" % (body.get("service"), body.get("id"),
                                                         headers.get("x-duty-holder"), headers.get("x-fence-token")))
        if target is None or not target.up:
            return 409, {}
        if target is self.leader(target.service):
            return 200, {}
        if not target.ordered:
            target.ordered = True
            self.loop.create_task(self.lead(target))
        return 200, {}

    async def lead(self, target):
        await asyncio.sleep(self.promote_s)
        target.ordered = False
        if not target.up or target.primary:
            return
        newest = max(d.term for d in self.databases if d.service == target.service)
        target.term = newest + 1
        target.primary = True
        self.promotions.append((now(), target.service, target.id, [e[2] for e in target.log]))
        self.note("promoted", "%s term=%d position=%d.%d" % ((target.id, target.term) + target.position()))
        await target.report()
