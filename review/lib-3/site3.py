"""A small deployment for the scripts of review/11 to review/15: the platform
(standin-site for its store, processes that are watched and restarted), sound
databases and clients, all as PROTOCOL.md and DEPLOY.md say."""
import asyncio
import json
import os
import pathlib
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 260  # limits.memory-mb of the small deployments
PROMOTE_S = 1.0  # "1,000 ms a promote" (SYSTEM, Databases)
RESTART_S = 0.5  # "restarted after a short delay" (DEPLOY, Ends)
STARTED = time.monotonic()
LONGEST_S = 117  # a case that takes longer could not run

record = None


def note(text):
    record.write(f"{time.monotonic() - STARTED:8.3f} {text}\n")


def free_ports(count, taken=set()):
    found = []
    while len(found) < count:
        port = random.randrange(20000, 32000)  # below the ephemeral ports
        if port in taken:
            continue
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        taken.add(port)
        found.append(port)
    return found


class Connection:
    """What a database knows of one connection."""

    def __init__(self, organisation):
        self.organisation = organisation
        self.values = {}
        self.state = "I"


class Database:
    """A sound database.  Its log stays at 1.0 unless a write commits; writes
    in transactions take effect at COMMIT."""

    def __init__(self, service, number):
        self.service = service
        self.id = f"i-{service}-{number}"
        self.is_primary = number == 0
        self.port = free_ports(1)[0]
        self.term = 1
        self.last = (1, 0)  # position of the log's end
        self.log = []  # ids of committed writes
        self.replicas = []
        self.state, self.sequence = "ready", 1
        self.born = int(time.time() * 1000)
        self.writers = set()
        self.reached = asyncio.Event()  # cleared while it is cut off
        self.reached.set()
        self.on_run = lambda connection, number, text: None
        self.refuses = lambda verb: None  # code of an error, or None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=1 << 21)

    def position(self):
        return "%d.%d" % self.last

    def commit(self, ids):
        for number in ids:
            self.log.append(number)
            self.last = (self.term, self.last[1] + 1)
        for replica in self.replicas:
            replica.log, replica.last = list(self.log), self.last

    def promote(self):
        """Lead the next term with what was received."""
        self.term += 1
        self.is_primary = True
        for replica in self.replicas:
            replica.is_primary, replica.term = False, self.term
            replica.log, replica.last = list(self.log), self.last

    def cut(self):
        """Answer nobody until heal (): bytes and connections wait."""
        self.reached.clear()

    def heal(self):
        self.reached.set()

    async def end(self):
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer):
        pending = []
        self.writers.add(writer)
        try:
            await self.reached.wait()
            word, *fields = (await reader.readuntil(b"\r\n"))[:-2].decode().split(" ")
            if word != "START" or fields[0] != self.service or (
                    len(fields) > 2 and fields[2] != self.id):
                writer.write(f"ERROR MISROUTED {self.id}\r\n".encode())
                return
            connection = Connection(fields[1])
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                word, _, rest = line.partition(" ")
                if word == "RELEASE":
                    return
                number, _, text = rest.partition(" ")
                await self.reached.wait()
                after = None
                if text.startswith("AFTER "):
                    _, after, text = text.split(" ", 2)
                if after and tuple(map(int, after.split("."))) > self.last:
                    writer.write(f"ERROR LAGGING {self.id}\r\nREADY {connection.state} "
                                 f"{self.position()}\r\n".encode())
                    continue
                writer.write(self.answer(connection, pending, number, text).encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def answer(self, c, pending, number, text):
        verb, _, rest = text.partition(" ")
        complete = "COMPLETE -\r\n"
        code = self.refuses(verb)
        if code is None and verb in ("WRITE", "BEGIN") and not self.is_primary and text != "BEGIN READ":
            code = "READONLY"
        if code is not None:
            if c.state == "T":
                c.state = "E"
            return f"ERROR {code} {self.id}\r\nREADY {c.state} {self.position()}\r\n"
        if verb == "SET":
            name, _, value = rest.partition(" ")
            c.values[name] = value
        elif verb == "PREPARE":
            pass
        elif verb == "RESET":
            c.values = {}
        elif verb == "STATUS":
            role = "primary" if self.is_primary else "replica"
            complete = f"ROW {role} {self.term} {self.position()} 0 0 0 1\r\n" + complete
        elif verb == "BEGIN":
            c.state = "T"
        elif verb == "ROLLBACK":
            c.state = "I"
            pending.clear()
        elif verb in ("READ", "WRITE", "COMMIT", "EXECUTE"):
            self.on_run(c, number, text)
            if verb == "WRITE":
                pending.append(number)
            if verb == "COMMIT":
                c.state = "I"
            if verb != "READ" and c.state == "I":
                self.commit(pending)
                pending.clear()
            row = "ROW none\r\n" if verb == "READ" else ""
            complete = f"{row}COMPLETE {os.urandom(8).hex()}\r\n"
        else:
            return f"ERROR MALFORMED {self.id}\r\nREADY {c.state} {self.position()}\r\n"
        return complete + f"READY {c.state} {self.position()}\r\n"

    def entry(self):
        return json.dumps({
            "service": self.service, "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a", "config-version": "v1", "slots": 2,
            "state": self.state, "cold-left-ms": 0, "sequence": self.sequence,
            "db-role": "primary" if self.is_primary else "replica",
            "born": self.born})


class Duties:
    """POST /promote of the platform: the database leads PROMOTE_S later."""

    def __init__(self, site):
        self.site = site
        self.port = free_ports(1)[0]

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                headers = {k.lower(): v for k, _, v in
                           (line.partition(": ") for line in head.split("\r\n")[1:])}
                if "100-continue" in headers.get("expect", ""):
                    writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                body = json.loads(await reader.readexactly(int(headers.get("content-length", 0))))
                status = self.order(body, headers) if head.startswith("POST /promote ") else "404 Not Found"
                writer.write(f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
                             "Content-Length: 2\r\n\r\n{}".encode())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def order(self, body, headers):
        found = [d for d in self.site.databases if d.id == body["id"] and d.service == body["service"]]
        running = [d for d in found if d.server.is_serving()]
        note(f"POST /promote {body} by {headers.get('x-duty-holder')} with token {headers.get('x-fence-token')}")
        if not running:
            return "409 Conflict"
        if not running[0].is_primary:
            asyncio.create_task(self.carry_out(running[0]))
        return "200 OK"

    async def carry_out(self, database):
        await asyncio.sleep(PROMOTE_S)
        if database.is_primary or not database.server.is_serving():
            return
        database.promote()
        self.site.promotions += 1
        note(f"{database.id} leads term {database.term}")
        for changed in [database] + database.replicas:
            if changed.server.is_serving():
                self.site.publish(changed)


class Machine:
    """A machine of the platform with one process of the deploy file.  The
    platform kills it if it exceeds its memory, and restarts it if it ends."""

    def __init__(self, number, store, duties, folder):
        self.name = f"front-{number}"
        self.front, self.ready, self.metrics, self.bus = free_ports(4)
        self.path = f"{folder}/{self.name}.toml"
        self.log = open(f"{folder}/{self.name}.log", "w")
        self.store, self.duties = store, duties
        self.ends = []  # reasons of ends without a disruption
        self.peak_mb = 0
        self.start(True)

    def start(self, bootstrap):
        text = (ROOT / "deploy/session.toml.in").read_text()
        for name, value in {
                "{{node-name|json}}": json.dumps(self.name),
                "{{zone|json}}": '"zone-a"',
                "{{listen-addrs.front|json}}": f'"127.0.0.1:{self.front}"',
                "{{listen-addrs.ready|json}}": f'"127.0.0.1:{self.ready}"',
                "{{ip}}:{{internal-ports.1}}": f"127.0.0.1:{self.metrics}",
                "{{ip}}:{{internal-ports.0}}": f"127.0.0.1:{self.bus}",
                "{{platform.address|json}}": f'"127.0.0.1:{self.store}"',
                "{{cloud-api.address|json}}": f'"127.0.0.1:{self.duties}"',
                "{{bounds.grace-s}}": "6", "{{bounds.drain-ms}}": "7000",
                "{{#bounds.evacuation-ms}}evacuation_ms = "
                "{{bounds.evacuation-ms}}{{/bounds.evacuation-ms}}": "",
                "{{limits.cpu-share}}": "0.25",
                "{{limits.memory-mb}}": str(MEMORY_MB),
                "{{bootstrap|json}}": "true" if bootstrap else "false"}.items():
            text = text.replace(name, value)
        pathlib.Path(self.path).write_text(text)
        self.process = subprocess.Popen(
            [str(ROOT / "target/azurewind-sessiond"), "--settings", self.path],
            cwd=ROOT, stdout=self.log, stderr=self.log)

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/statm") as f:
                return int(f.read().split()[1]) * os.sysconf("SC_PAGESIZE") / (1 << 20)
        except (OSError, IndexError):
            return 0

    async def watch(self):
        while True:
            size = self.resident_mb()
            self.peak_mb = max(self.peak_mb, size)
            if size > MEMORY_MB:
                self.process.kill()
                self.process.wait()
                self.ends.append(f"{size:.0f} MB")
                note(f"{self.name} exceeded memory-mb = {MEMORY_MB} with {size:.0f} MB and was killed")
            elif self.process.poll() is not None:
                self.ends.append(f"ended with {self.process.returncode}")
                note(f"{self.name} ended with {self.process.returncode}")
            if self.process.poll() is not None:
                await asyncio.sleep(RESTART_S)
                self.start(False)
            await asyncio.sleep(0.05)


class Client:
    """A session that is opened again when it breaks off.  It sets @p values
    once, after START."""

    def __init__(self, name, host, port, values):
        self.name, self.host, self.port, self.values = name, host, port, values
        self.reader = None
        self.started = False
        self.served = self.failed = self.broken = self.sent = 0
        self.acknowledged = {}

    async def answer(self):
        lines = []
        while True:
            line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 5))[:-2].decode()
            lines.append(line)
            if line.startswith("READY ") or (line.startswith("ERROR ") and not self.started):
                return lines

    async def query(self, text, number=None):
        """Send a statement; return the lines of its answer."""
        number = number or os.urandom(8).hex()
        self.sent += 1
        self.writer.write(f"QUERY {number} {text}\r\n".encode())
        lines = await self.answer()
        if self.sent <= 6 or lines[0].startswith("ERROR"):
            shown = text if len(text) < 80 else f"{text[:10]}...({len(text)} bytes)"
            note(f"{self.name}: {number} {shown} -> {lines}")
        return lines

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.started = False
        self.acknowledged = {}
        self.writer.write(f"START {self.host} key-a1\r\n".encode())
        self.started = (await self.answer())[-1].startswith("READY")
        for name, value in self.values.items() if self.started else ():
            if (await self.query(f"SET {name} {value}"))[0].startswith("ERROR"):
                return False
            self.acknowledged[name] = value
        return self.started

    async def run(self, text, number=None):
        """One operation: a single statement.  A close is followed by a
        reconnect; after a promise the client comes back later.
        @return the lines of the answer, None if there was none."""
        try:
            if self.reader is None and not await self.connect():
                raise ConnectionError
            lines = await self.query(text, number)
            if lines[0].startswith("ERROR"):
                self.failed += 1
                await asyncio.sleep(0.1)
            else:
                self.served += 1
            return lines
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.broken += 1
            if self.reader is not None:
                self.writer.close()
            self.reader = None
            await asyncio.sleep(0.3)
        return None


class Site:
    """The running processes of one case."""

    def __init__(self, folder):
        self.folder = folder
        self.store = free_ports(1)[0]
        self.process = subprocess.Popen(
            [str(ROOT / "target/standin-site"), "--port", str(self.store), "--services", "1"],
            cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
        self.process.stdout.readline()
        self.machines = []
        self.databases = []
        self.promotions = 0

    def control(self, body):
        request = urllib.request.Request(f"http://127.0.0.1:{self.store}/control",
                                         json.dumps(body).encode(), method="POST")
        return urllib.request.urlopen(request, timeout=5).status == 200

    def publish(self, database):
        """Write the entry of a database, as it does itself."""
        database.sequence += 1
        self.control({"raw": {"kind": "servers", "name": database.id, "spec": database.entry()}})

    async def start(self, machines, services):
        """Start the machines, with a primary route "deskK" for each service
        desk-K of a primary and two replicas; traffic can start afterwards."""
        self.control({"config": {
            "config-version": 3,
            "routes": [{"name": f"desk{k}", "host": f"desk{k}", "kind": "primary",
                        "service": f"desk-{k}", "timeout-ms": 800, "target-latency-ms": 100,
                        "priority": 1, "public-access": False} for k in range(services)],
            "services": [{"name": f"desk-{k}", "max-connections": 32, "sync-replicas": 0}
                         for k in range(services)],
            "limits": {"tx-idle-ms": 3000},
            "tenants": [{"name": "alpha", "api-keys": ["key-a1"],
                         "rate-per-s": 10000, "burst": 10000}]}})
        for k in range(services):
            group = [Database(f"desk-{k}", number) for number in range(3)]
            for database in group:
                database.replicas = [other for other in group if other is not database]
                await database.start()
                self.publish(database)
            self.databases += group
        duties = Duties(self)
        await asyncio.start_server(duties.serve, "127.0.0.1", duties.port)
        for i in range(machines):
            self.machines.append(Machine(i, self.store, duties.port, self.folder))
        await asyncio.sleep(10)  # "Traffic starts 10 s after the machines do"

    def end(self):
        for process in [self.process] + [m.process for m in self.machines]:
            process.kill()
            process.wait()


def run_case(folder, case):
    """Run @p case (site), a coroutine that returns 1 (broken), 0 (held) or 2
    (could not run), end all processes and leave with that status."""
    global record
    record = open(pathlib.Path(folder) / "record.txt", "w", buffering=1)

    async def run():
        status, site = 2, None
        temporary = tempfile.mkdtemp(prefix="review-3-")
        try:
            site = Site(temporary)
            status = await asyncio.wait_for(case(site), LONGEST_S)
        except Exception as error:
            note(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
        if site is not None:
            site.end()
        if "LOGS" in os.environ:  # keep what the processes wrote
            shutil.copytree(temporary, os.environ["LOGS"], dirs_exist_ok=True)
        shutil.rmtree(temporary)
        sys.stdout.flush()
        os._exit(status)  # the other tasks needn't end
    asyncio.run(run())
