"""Starts session daemons with settings like those of a small deployment, and callers of them."""
import asyncio
import ctypes
import json
import os
import random
import signal
import socket
import subprocess
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "azurewind-sessiond")
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY")


def end_with_parent():
    """In a process that is started: it is killed when the test ends, however that ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


BLOCK = 100


class Ports:
    """A block of ports below the range of outgoing connections that no other test has.

    The first port of the block stays bound while this process runs, so that tests that run side by side never share one.
    """

    def __init__(self):
        bases = list(range(11000, 31000, BLOCK))
        random.shuffle(bases)
        for base in bases:
            self.guard = socket.socket()
            try:
                self.guard.bind(("127.0.0.1", base))
            except OSError:
                self.guard.close()
                continue
            self.next, self.end = base + 1, base + BLOCK
            return
        raise OSError("no free ports")

    def take(self, count):
        found = []
        while len(found) < count:
            if self.next == self.end:
                raise OSError("no free ports in the block")
            with socket.socket() as s:
                try:
                    s.bind(("127.0.0.1", self.next))
                    found.append(self.next)
                except OSError:
                    pass
            self.next += 1
        return found


PORTS = Ports()
TAG = "%04x" % random.getrandbits(16)  # in the id of every statement, so that another test's is not taken for one's own


class Daemon:
    def __init__(self, folder, name, zone, store, duties, options=""):
        self.folder, self.name, self.zone = folder, name, zone
        self.store, self.duties, self.options = store, duties, options
        self.front, self.ready, self.metrics, self.bus = PORTS.take(4)
        self.process = None
        self.starts = 0

    def start(self, bootstrap):
        path = os.path.join(self.folder, self.name + ".toml")
        with open(path, "w") as f:
            f.write('name = "%s"\nfailure_domain = "%s"\nlisten = "127.0.0.1:%d"\nready_listen = "127.0.0.1:%d"\n'
                    'metrics_listen = "127.0.0.1:%d"\nbus = "tcp://127.0.0.1:%d"\nstore = "127.0.0.1:%d"\n'
                    'duties = "127.0.0.1:%d"\ngrace_ms = 6000\ndrain_ms = 7000\ncapacity = 0.25\nmemory_mb = 260\n'
                    'bootstrap = %s\nentry_wait = true\nrate_schedule = false\nhedged_reads = true\n'
                    'learned_capacity = true\n%s'
                    % (self.name, self.zone, self.front, self.ready, self.metrics, self.bus, self.store, self.duties,
                       "true" if bootstrap else "false", self.options))
        log = open(os.path.join(self.folder, "%s.%d.log" % (self.name, self.starts)), "w")
        self.starts += 1
        self.process = subprocess.Popen([PROGRAM, "--settings", path], stdout=log, stderr=subprocess.STDOUT,
                                        stdin=subprocess.DEVNULL, cwd=ROOT, preexec_fn=end_with_parent)
        log.close()

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()

    async def owned_services(self):
        """Number of services that the daemon owns, from its metrics."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.metrics), 1)
        except (OSError, asyncio.TimeoutError):
            return 0
        try:
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            text = await asyncio.wait_for(reader.read(-1), 1)
        except (OSError, asyncio.TimeoutError):
            return 0
        finally:
            writer.close()
        for line in text.decode(errors="replace").splitlines():
            if line.startswith("azurewind_owned_services"):
                return int(float(line.split()[-1]))
        return 0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.ready), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return b" 200 " in await asyncio.wait_for(reader.readline(), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()


def make_config(version, services, sync=0, max_connections=22, rate=10000, timeout_ms=800, tenants=4):
    routes = []
    for s in services:
        for host, kind, stale, priority in (("main-", "primary", 0, 1), ("browse-", "bounded_staleness", 1500, 2),
                                            ("own-", "read_your_writes", 2500, 2)):
            route = {"name": host + s, "host": host + s, "kind": kind, "service": s, "timeout-ms": timeout_ms,
                     "target-latency-ms": 200, "priority": priority, "public-access": False}
            if stale:
                route["max-staleness-ms"] = stale
            routes.append(route)
    return {"config-version": version, "routes": routes,
            "services": [{"name": s, "max-connections": max_connections, "sync-replicas": sync} for s in services],
            "limits": {"tx-idle-ms": 3000},
            "tenants": [{"name": "t%d" % i, "api-keys": ["key-%d" % i], "rate-per-s": rate, "burst": rate}
                        for i in range(tenants)]}


class Link:
    """A proxy before the bus of a daemon; while it is held, nothing reaches the daemon, and nothing is lost."""

    def __init__(self, target):
        self.target = target
        self.passes = asyncio.Event()
        self.passes.set()
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def copy(self, reader, writer, is_held):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if is_held:
                    await self.passes.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        await self.passes.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.copy(reader, far_writer, True), self.copy(far_reader, writer, False))


class Answer:
    def __init__(self):
        self.rows, self.signature, self.error, self.state, self.position = [], None, None, None, None


class Caller:
    """A session: a connection to a daemon."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def open(self, database, key):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", self.port, limit=1 << 21), 2)
        self.writer.write(("START %s %s\r\n" % (database, key)).encode())
        return await asyncio.wait_for(self.answer(), 2)

    async def answer(self):
        a = Answer()
        while True:
            line = (await self.reader.readuntil(b"\r\n"))[:-2].decode()
            word, _, rest = line.partition(" ")
            if word == "ROW":
                a.rows.append(rest)
            elif word == "COMPLETE":
                a.signature = rest
            elif word == "ERROR":
                a.error = rest.split(" ")[0]
            elif word == "READY":
                a.state, a.position = rest.split(" ")
                return a
            if word == "ERROR" and self.reader.at_eof():
                return a

    async def query(self, ident, text, timeout):
        self.writer.write(("QUERY %s %s\r\n" % (ident, text)).encode())
        return await asyncio.wait_for(self.answer(), timeout)

    def close(self):
        if self.writer is not None:
            self.writer.close()


class Record:
    """What was sent and answered: lines of record.txt."""

    def __init__(self):
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        self.lines.append("%9.3f %s" % (self.now(), text))

    def write(self, path, notes=()):
        lines = self.lines + ["%9.3f %s %s" % (t - self.began, e, x) for t, e, x in notes]
        with open(path, "w") as f:
            f.write("\n".join(sorted(lines, key=lambda line: float(line[:9]))) + "\n")


async def wait_until_served(daemons, services, timeout):
    end = time.monotonic() + timeout
    for d in daemons:
        for s in services:
            while True:
                c = Caller(d.front)
                try:
                    a = await c.open("main-" + s, "key-0")
                    if a.state and (await c.query("warm%d" % random.getrandbits(40), "WRITE warm x", 2)).error is None:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                finally:
                    c.close()
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.05)
    return True


def write_config(site, config):
    return site.store.put("config", "main", config)


def dump(folder, name, value):
    with open(os.path.join(folder, name), "w") as f:
        json.dump(value, f)
