"""Stand-ins and process control for the review's scripts.

The nodes are the project's own program, started as separate processes with the
command of deploy/system.toml. The store, the backends and the requesters are
small stand-ins in the script's process. All addresses are loopback addresses.
"""

import asyncio
import base64
import itertools
import json
import os
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "radishcross"
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of a small deployment, in seconds.
STABLE_WINDOW = 3.0
HEARTBEAT_INTERVAL = 1.5
DRAIN = 2.0
GRACE = 6.0

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def add(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")
        self.file.flush()


next_port = 10000 + secrets.randbelow(20000)


def free_ports(count):
    """Returns distinct ports that are free for TCP and UDP, below the ephemeral range."""
    global next_port
    ports = []
    while len(ports) < count:
        port = next_port = next_port + 1 if next_port < 32000 else 10000
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, \
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
    return ports


class Message:
    """A parsed HTTP message."""

    def __init__(self, first, fields, body):
        self.first, self.fields, self.body = first, fields, body

    def get(self, name, default=""):
        return next((v for k, v in self.fields if k.lower() == name.lower()), default)

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_message(reader, has_body=True):
    """Reads one message; returns None at a clean end before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise ConnectionError("message cut") from error
    lines = head.decode("latin-1").split("\r\n")
    fields = [tuple(p.strip() for p in it.split(":", 1)) for it in lines[1:] if it]
    message = Message(lines[0], fields, b"")
    if not has_body:
        return message
    try:
        if message.get("Transfer-Encoding").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    break
                message.body += data[:-2]
        elif message.get("Content-Length"):
            message.body = await reader.readexactly(int(message.get("Content-Length")))
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("message cut") from error
    return message


def response(status, fields=(), body=b""):
    out = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    out += "".join(f"{k}: {v}\r\n" for k, v in fields)
    return out.encode() + b"\r\n" + body


class Server:
    """Accepts connections and answers their requests one after another."""

    def __init__(self, port):
        self.port = port
        self.server = None
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, HOST, self.port, reuse_address=True, limit=1 << 27)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            writer.write(await self.answer(message))
            await writer.drain()
            if message.get("Connection").lower() == "close":
                return

    async def answer(self, message):
        raise NotImplementedError

    def stop(self, reset=True):
        """Stops listening and resets all connections, as the end of a process."""
        if self.server:
            self.server.close()
            self.server = None
        for it in list(self.connections):
            if reset:
                it.transport.abort()
            else:
                it.close()


class Store(Server):
    """The platform's metadata store: a log with topics."""

    def __init__(self, port):
        super().__init__(port)
        self.topics = {}
        self.changed = asyncio.Event()
        self.mode = "up"  # up, busy (503), silent

    def append(self, topic, records):
        log = self.topics.setdefault(topic, [])
        log.extend(records)
        self.changed.set()
        self.changed = asyncio.Event()
        return len(log) - len(records), len(log)

    def put(self, topic, key, value):
        self.append(topic, [bytes([len(key)]) + key.encode() + value])

    async def answer(self, message):
        method, target, _ = message.first.split(" ")
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "busy":
            return response(503)
        await asyncio.sleep(0.004)
        topic = query.get("topic", "")
        if url.path == "/radishcross/log-append":
            records, rest = [], message.body
            while rest:
                size = struct.unpack(">I", rest[:4])[0]
                records.append(rest[4:4 + size])
                rest = rest[4 + size:]
            log = self.topics.get(topic, [])
            if "at" in query and int(query["at"]) != len(log):
                return self.json(412, {"endOffset": len(log)})
            if topic in ("keyed.op", "keyed.servers"):
                return response(403)
            offset, end = self.append(topic, records)
            return self.json(200, {"offset": offset, "endOffset": end})
        if url.path == "/radishcross/log-read":
            start = int(query["from"])
            until = time.monotonic() + min(int(query.get("waitMs", 0)), 30000) / 1000
            while len(self.topics.get(topic, [])) <= start:
                left = until - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            log = self.topics.get(topic, [])
            body = struct.pack(">QQ", len(log), 0)
            for it in log[start:]:
                body += struct.pack(">I", len(it)) + it
            return response(200, [], body)
        if url.path == "/radishcross/log-newest":
            newest = {}
            for offset, it in enumerate(self.topics.get(topic, [])):
                key, value = it[1:1 + it[0]], it[1 + it[0]:]
                newest.pop(key, None)
                if value:
                    newest[key] = (value, offset)
            items = [{"key": k.decode(), "value": base64.b64encode(v).decode(), "offset": o}
                     for k, (v, o) in newest.items()]
            return self.json(200, {"items": items, "more": False,
                                   "endOffset": len(self.topics.get(topic, []))})
        return response(404)

    @staticmethod
    def json(status, value):
        return response(status, [("Content-Type", "application/json")],
                        json.dumps(value).encode())


class Node:
    """One node: its settings file and its process."""

    def __init__(self, mesh, name, zone, service):
        self.mesh, self.name, self.zone, self.service = mesh, name, zone, service
        names = ["calls", "mesh", "targets", "administration", "gossip", "peer", "app"]
        self.ports = dict(zip(names, free_ports(len(names))))
        self.process = None
        self.first_start = True

    def address(self, name):
        return f"{HOST}:{self.ports[name]}"

    def settings(self):
        listen = {it: self.address(it) for it in
                  ("calls", "mesh", "gossip", "peer", "targets", "administration")}
        return {
            "node": self.name, "data_centre": self.zone, "region": "south",
            "service": self.service, "target_address": self.address("app"),
            "listen": listen,
            "platform": {"addresses": [f"{HOST}:{self.mesh.store.port}"],
                         "operator_configuration": True, "in_force_ms": 2000},
            "seed_hosts": [],
            "first_start": self.first_start,
            "call_headers": {
                "request_id": "X-Radishcross-Request-Id",
                "deadline": "X-Radishcross-Deadline-Ms",
                "expected_target": "X-Radishcross-Expect-Instance",
                "caller_service": "X-Radishcross-Caller-Service",
                "not_run": "X-Radishcross-Not-Executed",
                "rate_limit": "Server-Limit", "leaving": "Server-Leaving"},
            "retry_budget": {"ratio": 0.2, "window_seconds": 10, "slack": 60},
            "target_lease_ms": 8000, "recording_bytes": 0, "drain_seconds": int(GRACE),
        }

    def start(self):
        path = self.mesh.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        self.first_start = False
        log = open(self.mesh.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [str(PROGRAM), "node", "--settings", str(path)], cwd=ROOT,
            stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def kill(self, number=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def peak_mb(self):
        """Returns the process's peak of resident memory."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(it for it in text.splitlines() if it.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    async def is_ready(self):
        try:
            answer = await request(self.ports["administration"], "GET", "x", "/readyz", wait=1.0)
        except OSError:
            return False
        return answer.status == 200


class Backend(Server):
    """One application backend beside a node."""

    count = itertools.count(1)

    def __init__(self, mesh, node, work=0.05, slots=9, queue=36):
        super().__init__(node.ports["app"])
        self.mesh, self.node, self.work, self.slots, self.queue = mesh, node, work, slots, queue
        self.ids = itertools.count(1)
        self.name = f"b{next(Backend.count)}"
        self.state = "ready"
        self.beats = None
        self.is_up = False
        self.runs = []  # (time, request id, path, caller)
        self.jobs = set()

    def new_boot(self):
        self.id = f"i-{self.name}-{next(self.ids)}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.state = "ready"

    async def boot(self):
        self.new_boot()
        await self.start()
        self.is_up = True
        self.mesh.record.add(f"backend {self.id} of {self.node.service} started")
        self.beats = asyncio.create_task(self.beat_loop())

    def end(self):
        """Ends the process: resets its connections, tells nobody."""
        self.is_up = False
        if self.beats:
            self.beats.cancel()
        self.stop()
        for it in list(self.jobs):
            it.cancel()

    def report(self, **changes):
        """Returns the body of the next liveness report."""
        self.sequence += 1
        return {"service": self.node.service, "address": self.node.address("app"),
                "data_centre": self.node.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "warm_up_ms": 0, "sequence": self.sequence,
                "started_unix_ms": self.born, **changes}

    async def send_report(self, body, target_id=None):
        """Sends a liveness report; returns the status, or 0 without an answer."""
        data = json.dumps(body).encode()
        try:
            answer = await request(
                self.node.ports["targets"], "POST", "x",
                f"/v1/targets/{target_id or self.id}/heartbeat",
                [("Content-Type", "application/json")], data, wait=1.0)
        except OSError:
            return 0
        return answer.status

    async def send_leave(self):
        try:
            answer = await request(self.node.ports["targets"], "POST", "x",
                                   f"/v1/targets/{self.id}/leave", wait=1.0)
        except OSError:
            return 0
        return answer.status

    async def beat_loop(self):
        while True:
            await self.send_report(self.report())
            await asyncio.sleep(HEARTBEAT_INTERVAL)

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            out = await self.run_watched(message, reader, writer)
            if out is None:
                return
            writer.write(out)
            await writer.drain()

    async def run_watched(self, message, reader, writer):
        """Runs a request; drops it when its connection closes."""
        job = asyncio.create_task(self.answer(message))
        self.jobs.add(job)
        try:
            while not job.done():
                await asyncio.wait({job}, timeout=0.02)
                if reader.at_eof() or writer.transport.is_closing():
                    job.cancel()
                    return None
            return job.result()
        except asyncio.CancelledError:
            return None
        finally:
            self.jobs.discard(job)

    def echo(self, message, *more):
        return [("X-Radishcross-Request-Id", message.get("X-Radishcross-Request-Id")), *more]

    async def answer(self, message):
        method, path, _ = message.first.split(" ")
        request_id = message.get("X-Radishcross-Request-Id")
        if path == "/health":
            return response(200, [("X-Radishcross-Instance-Id", self.id)])
        expected = message.get("X-Radishcross-Expect-Instance")
        if expected and expected != self.id:
            return response(421, self.echo(message, ("X-Radishcross-Instance-Id", self.id)))
        if self.running >= self.slots:
            return response(503, self.echo(message, ("X-Radishcross-Not-Executed", "1")))
        self.running += 1
        self.runs.append((self.mesh.record.now(), request_id, path,
                          message.get("X-Radishcross-Caller-Service")))
        self.mesh.record.add(f"  {self.id} runs {request_id} {method} {path} "
                             f"caller {message.get('X-Radishcross-Caller-Service')}")
        try:
            return await self.run(message)
        finally:
            self.running -= 1

    async def run(self, message):
        await asyncio.sleep(self.work)
        body = f"answer to {message.get('X-Radishcross-Request-Id')}".encode()
        stamp = f"{self.id}.{message.get('X-Radishcross-Request-Id')}"
        return response(200, self.echo(message, ("X-Radishcross-Response-Stamp", stamp)), body)


async def request(port, method, host, path, fields=(), body=b"", wait=5.0, on_open=None):
    """Sends one request on a new connection and returns the whole answer."""
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(HOST, port, limit=1 << 27), wait)
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        head += "".join(f"{k}: {v}\r\n" for k, v in fields)
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        if on_open:
            on_open(writer)
        try:
            answer = await asyncio.wait_for(read_message(reader), wait)
        except asyncio.TimeoutError as error:
            raise ConnectionError("no answer in time") from error
        if answer is None:
            raise ConnectionError("closed without an answer")
        return answer
    finally:
        writer.close()


class Mesh:
    """All processes and stand-ins of one run."""

    def __init__(self, case):
        self.folder = Path(tempfile.mkdtemp(prefix="radishcross-review-"))
        self.record = Record(case)
        self.store = Store(free_ports(1)[0])
        self.nodes, self.backends = [], []
        self.ids = itertools.count(1)
        self.version = 0
        if not PROGRAM.exists():
            raise CannotRun("target/radishcross has not been built")

    def add(self, service, zone, **options):
        """Adds a machine: a node and its backend."""
        node = Node(self, f"n{len(self.nodes) + 1}-{zone}", zone, service)
        self.nodes.append(node)
        self.backends.append(Backend(self, node, **options))
        return node, self.backends[-1]

    async def start(self, routes, services, idle_ms=15000):
        await self.store.start()
        self.configure(routes, services, idle_ms)
        for it in self.nodes:
            it.start()
        for it in self.backends:
            await it.boot()
        await self.wait_ready(self.nodes)
        await asyncio.sleep(3.0)  # All nodes learn of all backends.

    def configure(self, routes, services, idle_ms=15000):
        self.version += 3
        content = {
            "version": self.version,
            "routes": [{"name": f"r-{i}", "kind": "safe", "timeout": 2000,
                        "targetLatency": 800, "priority": 0, "maxAttempts": 2, **it}
                       for i, it in enumerate(routes)],
            "services": [{"name": it, "healthPath": "/health", "maxConnections": 120,
                          "protocol": "h1", "tls": False} for it in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                       "headerTimeout": 3000, "idleTimeout": idle_ms}}
        self.store.put("keyed.op", "config", json.dumps(content).encode())
        self.record.add(f"configuration {self.version} written")

    async def wait_ready(self, nodes, seconds=20):
        until = time.monotonic() + seconds
        for it in nodes:
            while not await it.is_ready():
                if time.monotonic() > until or it.process.poll() is not None:
                    raise CannotRun(f"{it.name} did not get ready")
                await asyncio.sleep(0.1)
        self.record.add("ready: " + ", ".join(it.name for it in nodes))

    def next_id(self):
        return f"{next(self.ids):06x}{secrets.token_hex(5)}"

    async def call(self, node, method, host, path, body=b"", deadline_ms=2000, quiet=False,
                   fields=()):
        """A requester's attempt at a node's outbound address; returns (id, status)
        with status 0 for a connection that ended without an answer."""
        request_id = self.next_id()
        if not quiet:
            self.record.add(f"{request_id} {method} {host}{path} sent to {node.name}")
        try:
            answer = await request(
                node.ports["calls"], method, host, path,
                [("X-Radishcross-Request-Id", request_id),
                 ("X-Radishcross-Deadline-Ms", str(deadline_ms)), *fields], body,
                wait=deadline_ms / 1000 + 1)
            status, answer_body = answer.status, answer.body
        except (OSError, asyncio.TimeoutError) as error:
            status, answer_body = 0, str(error).encode()
        if not quiet:
            self.record.add(f"{request_id} answered {status} {answer_body[:120]!r}")
        return request_id, status

    async def stop(self):
        for it in self.backends:
            it.end()
        self.store.stop()
        for it in self.nodes:
            it.kill()
        for it in self.nodes:
            if it.process:
                it.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, scenario, limit=115):
    """Runs scenario(mesh), which returns True if the rule held, and ends all
    processes; exits with the case's code."""
    async def body():
        mesh = None
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        try:
            mesh = Mesh(case)
            held = await asyncio.wait_for(scenario(mesh), limit)
            mesh.record.add("the rule held" if held else "THE RULE WAS BROKEN")
            return HELD if held else BROKEN
        except (Exception, asyncio.CancelledError) as error:
            # Only a judged run may exit with 0 or 1.
            print(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            if mesh:
                await mesh.stop()

    raise SystemExit(asyncio.run(body()))
