"""Stand-ins of the platform for the scripts of this review, on loopback.

Store: the metadata store (appends, reads, newest records) as PROTOCOL states.
Backend: an application behind one node; it counts the runs of each request.
Machine: one node of the deploy file, started as a separate process.
Every process is ended by its own process id.
"""

import asyncio
import base64
import json
import os
import re
import secrets
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PREFIX = "X-Radishcross-"
HEAD_LIMIT = 1 << 20
IDLE_S = 10  # Backends close connections that rest for so long.
MAX_CONNECTIONS = 120  # Of a backend.
QUEUE_FACTOR = 4  # A backend queues so many requests for each slot.


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run; a line each in record.txt."""

    def __init__(self, folder):
        self.started = now()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def line(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now() - self.started:8.3f} {what} {text}\n".rstrip() + "\n")
        self.file.flush()


# Messages ------------------------------------------------------------------


class Message:
    def __init__(self, first, fields, body=b""):
        self.first, self.fields, self.body = first, fields, body

    def get(self, name, default=""):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.first.split(" ", 2)[1])


async def read_head(reader):
    """Reads a message head; None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = raw[:-4].decode("latin-1").split("\r\n")
    fields = [(key.strip(), value.strip()) for key, _, value in
              (it.partition(":") for it in lines[1:])]
    return Message(lines[0], fields)


async def read_body(reader, head, is_response=False, method="GET"):
    if is_response and (method == "HEAD" or head.status in (204, 304) or head.status < 200):
        return b""
    if head.get("Transfer-Encoding").lower() == "chunked":
        out = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return out
            out += part[:-2]
    length = head.get("Content-Length")
    if length:
        return await reader.readexactly(int(length))
    return await reader.read() if is_response else b""


async def read_message(reader, is_response=False, method="GET"):
    head = await read_head(reader)
    while head is not None and is_response and 100 <= head.status < 200:
        head = await read_head(reader)
    if head is not None:
        head.body = await read_body(reader, head, is_response, method)
    return head


def compose(first, fields, body=b"", length=True):
    lines = [first] + [f"{key}: {value}" for key, value in fields]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        except OSError:
            pass
    writer.transport.abort()


async def exchange(address, request, timeout=5.0, method="GET"):
    """Sends one message over a new connection; returns the answer or None."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port), limit=HEAD_LIMIT)
            writer.write(request)
            await writer.drain()
            return await read_message(reader, True, method)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


# Addresses -----------------------------------------------------------------

NETWORK = [127, secrets.randbelow(200) + 20, secrets.randbelow(250) + 1]


def loopback(index):
    """A loopback address of a machine; each has all ports for itself."""
    return ".".join(map(str, NETWORK + [index + 2]))


def free_port(host):
    with socket.socket() as tcp:
        tcp.bind((host, 0))
        return tcp.getsockname()[1]


def free_pair(host):
    """A port that is free for TCP and UDP."""
    while True:
        port = free_port(host)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                udp.bind((host, port))
                return port
            except OSError:
                continue


# Template of the settings --------------------------------------------------


def render(text, values):
    """Fills a template as the platform's pages say."""

    def look(name, scopes):
        if name == ".":
            return scopes[0]
        for scope in scopes:
            at = scope
            for part in name.split("."):
                if isinstance(at, dict) and part in at:
                    at = at[part]
                elif isinstance(at, list) and part.isdigit() and int(part) < len(at):
                    at = at[int(part)]
                else:
                    at = None
                    break
            if at is not None:
                return at
        return None

    def plain(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(map(plain, value))
        return json.dumps(value) if isinstance(value, dict) else str(value)

    token = re.compile(r"\{\{([#^/]?)([^}]*)\}\}")

    def block(at, scopes, out, name, comma):
        while True:
            found = token.search(text, at)
            if not found:
                out.append(text[at:])
                return len(text)
            out.append(text[at:found.start()])
            kind, key, at = found[1], found[2], found.end()
            if kind == "/":
                assert key == name, (key, name)
                return at
            if kind in "#^" and kind:
                value = look(key, scopes)
                is_set = value is not None and value is not False and value != []
                entries = value if isinstance(value, list) else [value]
                if kind == "^":
                    entries = [] if is_set else [None]
                elif not is_set:
                    entries = []
                end = block(at, scopes, [], key, "")
                for index, it in enumerate(entries):
                    inner = [it] + scopes if kind == "#" else scopes
                    block(at, inner, out, key, "," if index + 1 < len(entries) else "")
                at = end
            elif key == ",":
                out.append(comma)
            elif key.endswith("|json"):
                out.append(json.dumps(look(key[:-5], scopes)))
            else:
                out.append(plain(look(key, scopes)))

    out = []
    block(0, [values], out, None, "")
    return "".join(out)


# The store -----------------------------------------------------------------


class Store:
    """The platform's store. `mode` is what it does with calls of nodes: "" serves
    them, "busy" answers 503, "silent" answers nothing, "reset" resets."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.topics = {}
        self.changed = asyncio.Event()
        self.mode = ""
        self.delay = 0.004
        self.lose = 0  # Appends of nodes that take effect but are not answered.
        self.calls = 0

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=8 << 20)

    def topic(self, name):
        return self.topics.setdefault(name, {"records": [], "newest": {}, "first": 0})

    def append(self, name, records):
        topic = self.topic(name)
        first = len(topic["records"])
        for it in records:
            at = len(topic["records"])
            topic["records"].append(it)
            if name.startswith("keyed."):
                key = it[1:1 + it[0]]
                value = it[1 + it[0]:]
                if value:
                    topic["newest"][key] = (value, at)
                else:
                    topic["newest"].pop(key, None)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return first, len(topic["records"])

    def put(self, topic, key, value):
        """A write of the platform's operator; it is acknowledged at once."""
        key = key.encode()
        self.append(topic, [bytes([len(key)]) + key + value.encode()])

    def compact(self, name):
        """Drops the history; the newest record of each key stays."""
        topic = self.topic(name)
        topic["first"] = len(topic["records"])

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                answer = await self.answer(request, writer)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
                if request.get("Connection").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        writer.close()

    async def answer(self, request, writer):
        method, target, _ = request.first.split(" ", 2)
        path, _, query = target.partition("?")
        args = {key: urllib.parse.unquote(value) for key, _, value in
                (it.partition("=") for it in query.split("&") if it)}
        self.calls += 1
        await asyncio.sleep(self.delay)
        if self.mode == "busy":
            return self.reply(503, b"{}")
        if self.mode == "reset":
            reset(writer)
            return None
        if self.mode == "silent":
            await asyncio.sleep(60)
            return None
        name = args.get("topic", "")
        if path == "/radishcross/log-append":
            return self.on_append(name, args, request.body, writer)
        if path == "/radishcross/log-read":
            out = await self.on_read(name, args)
            if self.mode:  # It was held open when the store went away.
                await asyncio.sleep(60)
                return None
            return out
        if path == "/radishcross/log-newest":
            return self.on_newest(name, args)
        return self.reply(404, b"{}")

    def on_append(self, name, args, body, writer):
        if name in ("keyed.op", "keyed.servers"):
            return self.reply(403, b"{}")
        end = len(self.topic(name)["records"])
        if "at" in args and int(args["at"]) != end:
            return self.reply(412, json.dumps({"endOffset": end}).encode())
        records = []
        while body:
            size = int.from_bytes(body[:4], "big")
            records.append(body[4:4 + size])
            body = body[4 + size:]
        first, end = self.append(name, records)
        if self.lose > 0:
            self.lose -= 1
            reset(writer)
            return None
        return self.reply(200, json.dumps({"offset": first, "endOffset": end}).encode())

    async def on_read(self, name, args):
        start, wait = int(args.get("from", 0)), int(args.get("waitMs", 0)) / 1000
        until = now() + wait
        topic = self.topic(name)
        while len(topic["records"]) <= start and now() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except TimeoutError:
                break
        if start < topic["first"]:
            return self.reply(410, json.dumps({"firstOffset": topic["first"]}).encode())
        out = len(topic["records"]).to_bytes(8, "big") + topic["first"].to_bytes(8, "big")
        most = int(args.get("maxKb", 1024)) << 10
        for it in topic["records"][start:]:
            if len(out) + len(it) > most:
                break
            out += len(it).to_bytes(4, "big") + it
        return self.reply(200, out, "application/octet-stream")

    def on_newest(self, name, args):
        topic = self.topic(name)
        after = args.get("after", "").encode()
        items = [{"key": key.decode("latin-1"), "value": base64.b64encode(value).decode(),
                  "offset": at}
                 for key, (value, at) in sorted(topic["newest"].items()) if key > after]
        body = {"items": items[:500], "more": len(items) > 500,
                "endOffset": len(topic["records"])}
        return self.reply(200, json.dumps(body).encode())

    @staticmethod
    def reply(status, body, kind="application/json"):
        return compose(f"HTTP/1.1 {status} X", [("Content-Type", kind)], body)


# Backends ------------------------------------------------------------------


class Backend:
    """An application beside a node. `behave(backend, request, writer)` may answer in
    another way than usual; it returns True if it did."""

    def __init__(self, machine, service, record, slots=9, work=0.02):
        self.machine, self.service, self.record = machine, service, record
        self.slots, self.work = slots, work
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.id = f"i-{secrets.token_hex(4)}"
        self.born = int(time.time() * 1000)
        self.sequence, self.state = 0, "ready"
        self.address = machine.app
        self.running = 0
        self.behave = None
        self.beats = True
        self.beat_task = None
        self.tasks = set()
        self.writers = set()
        self.answer_bytes = 40

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(
            self.serve, host, int(port), limit=HEAD_LIMIT)
        self.beat_task = asyncio.create_task(self.beat_loop())

    async def beat_loop(self):
        while True:
            if self.beats:
                await self.beat()
            await asyncio.sleep(1.5)

    async def beat(self, state=None, sequence=None):
        self.state = state or self.state
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        body = json.dumps({
            "service": self.service, "address": self.address,
            "data_centre": self.machine.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "warm_up_ms": 0, "sequence": sequence,
            "started_unix_ms": self.born}).encode()
        return await self.tell(f"/v1/targets/{self.id}/heartbeat", body)

    async def leave(self):
        return await self.tell(f"/v1/targets/{self.id}/leave", b"")

    async def tell(self, path, body):
        request = compose(f"POST {path} HTTP/1.1",
                          [("Host", self.machine.control), ("Connection", "close"),
                           ("Content-Type", "application/json")], body)
        answer = await exchange(self.machine.control, request, 1.0)
        return answer is not None and answer.status == 200

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            if len(self.writers) > MAX_CONNECTIONS:
                reset(writer)
                return
            while True:
                async with asyncio.timeout(IDLE_S):
                    request = await read_message(reader)
                if request is None:
                    break
                if not await self.handle(request, writer, reader):
                    break
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError, RuntimeError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def echo(self, request):
        return [(PREFIX + "Request-Id", request.get(PREFIX + "Request-Id")),
                (PREFIX + "Instance-Id", self.id),
                (PREFIX + "Server-Load", f"{self.running},{self.waiting},{self.slots}"),
                ("Keep-Alive", f"timeout={IDLE_S}")]

    def not_run(self, request, status):
        return compose(f"HTTP/1.1 {status}",
                       self.echo(request) + [(PREFIX + "Not-Executed", "1")])

    async def handle(self, request, writer, reader):
        if request.first.split(" ")[1] == "/health":
            writer.write(compose("HTTP/1.1 200 OK", self.echo(request)))
            return True
        expected = request.get(PREFIX + "Expect-Instance")
        if expected and expected != self.id:
            writer.write(compose("HTTP/1.1 421 Misdirected Request", self.echo(request)))
            return True
        if not request.get(PREFIX + "Request-Id"):
            writer.write(self.not_run(request, "400 Bad Request"))
            return True
        if self.waiting >= QUEUE_FACTOR * self.slots:
            writer.write(self.not_run(request, "503 Service Unavailable"))
            return True
        free = self.free  # Of this boot.
        self.waiting += 1
        try:
            async with asyncio.timeout(int(request.get(PREFIX + "Deadline-Ms", "5000")) / 1000):
                await free.acquire()
        except TimeoutError:
            writer.write(self.not_run(request, "503 Service Unavailable"))
            return True
        finally:
            self.waiting -= 1 if free is self.free else 0
        self.running += 1
        try:
            done = await self.behave(self, request, writer, reader) if self.behave else None
            return await self.run(request, writer) if done is None else done
        finally:
            self.running -= 1 if free is self.free else 0
            free.release()

    async def run(self, request, writer):
        self.note_run(request)
        await asyncio.sleep(self.work)
        writer.write(self.answer(request))
        await writer.drain()
        return True

    def note_run(self, request):
        self.record.line("run", backend=self.machine.name, service=self.service,
                         id=request.get(PREFIX + "Request-Id"),
                         line=request.first.rsplit(" ", 1)[0], caller=request.get(PREFIX + "Caller-Service"))
        self.machine.mesh.runs.setdefault(request.get(PREFIX + "Request-Id"), []).append(
            (now(), self, request))

    def stamp(self, request):
        return f"{self.id}.{request.get(PREFIX + 'Request-Id')}"

    def answer(self, request, status="200 OK"):
        identity = f"{request.get(PREFIX + 'Request-Id')} {self.id} ".encode()
        body = identity + b"x" * max(0, self.answer_bytes - len(identity))
        return compose(f"HTTP/1.1 {status}",
                       self.echo(request) + [(PREFIX + "Response-Stamp", self.stamp(request))],
                       body)

    def stop(self):
        if self.beat_task:
            self.beat_task.cancel()
        self.server.close()
        for it in list(self.writers):
            reset(it)


# Machines ------------------------------------------------------------------


class Machine:
    """One machine: its node as a process of its own, and its addresses."""

    def __init__(self, mesh, index, zone, service, store):
        self.mesh, self.zone, self.service, self.store = mesh, zone, service, store
        self.ip = loopback(index)
        self.name = f"sidecar-{zone}-{index + 1}"
        port = lambda: free_port(self.ip)
        self.app = f"{self.ip}:{port()}"
        self.inbound, self.outbound, self.ready, self.control = (
            f"{self.ip}:{port()}" for _ in range(4))
        self.folder = mesh.folder / self.name
        self.folder.mkdir()
        self.process = None
        self.first = True
        self.starts = 0

    def settings(self):
        return {
            "node": self.name, "role": "node", "machineClass": "sidecar",
            "serves": ["sidecar"], "ip": self.ip, "data_centre": self.zone,
            "region": "south", "zones": {it: "south" for it in self.mesh.zones},
            "listen": {"inbound": self.inbound, "outbound": self.outbound,
                       "ready": self.ready, "control": self.control},
            "internalPortRange": self.mesh.ports, "seeds": self.mesh.seeds(),
            "firstStart": self.first, "inTolerance": False,
            "limits": {"cpuShare": 0.2, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "heartbeatInterval": 1500, "contracts": [], "bounds": self.mesh.bounds,
            "appAddr": self.app, "service": self.service,
            "platform": {"address": self.store, "form": "log"}}

    def write_settings(self, **extra):
        template = (ROOT / self.mesh.role["template"]).read_text()
        text = render(template, self.settings())
        if extra:
            text = json.dumps({**json.loads(text), **extra}, indent=2)
        path = self.folder / "boot.json"
        path.write_text(text)
        return path

    def start(self, **extra):
        path = self.write_settings(**extra)
        words = shlex.split(self.mesh.role["run"].replace("/etc/radishcross/boot.yaml", str(path)))
        program = os.environ.get("REVIEW_PROGRAM", str(ROOT / words[0]))
        log = open(self.folder / f"log-{self.starts}.txt", "wb")
        self.starts += 1
        self.process = subprocess.Popen(
            [program] + words[1:], stdout=log, stderr=log, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "RADISHCROSS_BOOT": str(path)})
        self.first = False
        self.mesh.record.line("started", machine=self.name)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.mesh.record.line("signal", machine=self.name,
                                  signal=signal.Signals(number).name)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def is_ready(self):
        answer = await exchange(self.ready, compose(
            "GET /readyz HTTP/1.1", [("Host", "x"), ("Connection", "close")]), 1.0)
        return answer is not None and answer.status == 200

    def log_text(self):
        return "\n".join(it.read_text(errors="replace")
                         for it in sorted(self.folder.glob("log-*.txt")))


class Mesh:
    """The store, the machines and their backends."""

    def __init__(self, folder, services, zones=("zone-a", "zone-b", "zone-c"), bounds=None):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = list(zones)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = deploy["roles"]["node"]
        self.bounds = {
            "seedLag": 3, "reuseAfter": 2, "stableWindow": 3000, "ack": 4000, "catchUp": 4,
            "drain": 2000, "grace": 6, "lossSlack": 200, "config": 2000,
            "rollbackSlack": 250, "outer": 5000, "retryBudgetRatio": 0.2,
            "budgetWindow": 10, "budgetSlack": 60, "recovery": 15, **(bounds or {})}
        self.runs = {}
        self.sent = {}
        self.machines, self.backends = [], []
        self.ports = [free_pair(loopback(0)) for _ in range(2)]
        store = f"{loopback(200)}:{free_port(loopback(200))}"
        self.store = Store(store, self.record)
        for index, service in enumerate(services):
            machine = Machine(self, index, self.zones[index % len(self.zones)], service, store)
            self.machines.append(machine)
            self.backends.append(Backend(machine, service, self.record))

    def seeds(self):
        return [it.control for it in self.machines[:3]]

    def configure(self, version, routes, services, limits=None, **extra):
        """The operator writes a configuration; returns when it is acknowledged."""
        body = {"version": version, "routes": routes,
                "services": [{"name": it, "healthPath": "/health", "maxConnections": 120,
                              "protocol": "h1", "tls": False} for it in services],
                "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                                     "headerTimeout": 3000, "idleTimeout": 15000}, **extra}
        self.store.put("keyed.op", "config", json.dumps(body))
        self.record.line("configured", version=version)

    async def start(self, **extra):
        await self.store.start()
        for it in self.backends:
            await it.start()
        for it in self.machines:
            it.start(**extra)

    async def all_ready(self, seconds=20.0, machines=None):
        until = now() + seconds
        while now() < until:
            states = await asyncio.gather(*(it.is_ready() for it in machines or self.machines))
            if all(states):
                return True
            await asyncio.sleep(0.1)
        return False

    def stop(self):
        for it in self.backends:
            try:
                it.stop()
            except AttributeError:
                pass
        for it in self.machines:
            if it.process and it.process.poll() is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
        if not os.environ.get("REVIEW_KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder)


def route(name, host, prefix, service, kind="safe", timeout=1500, **extra):
    out = {"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeout": timeout,
           "targetLatency": 500, "priority": 1, "maxAttempts": 2, **extra}
    if "trafficSplit" not in extra:
        out["service"] = service
    return out


def request_bytes(method, path, host, body=b"", deadline=1500, identifier=None, fields=(),
                  close=False):
    identifier = identifier or secrets.token_hex(8)
    head = [("Host", host), (PREFIX + "Request-Id", identifier),
            (PREFIX + "Deadline-Ms", str(deadline)), *fields]
    if close:
        head.append(("Connection", "close"))
    return identifier, compose(f"{method} {path} HTTP/1.1", head, body,
                               length=bool(body) or method != "GET")


class Client:
    """A requester on one machine: one request over a new connection."""

    def __init__(self, mesh, machine):
        self.mesh, self.machine = mesh, machine

    async def call(self, method, path, host, **extra):
        identifier, data = request_bytes(method, path, host, close=True, **extra)
        deadline = extra.get("deadline", 1500)
        sent = self.mesh.sent[identifier] = now()
        self.mesh.record.line("sent", machine=self.machine.name, id=identifier,
                              line=f"{method} {path}")
        answer = await exchange(self.machine.outbound, data, deadline / 1000, method)
        self.mesh.record.line(
            "answered", machine=self.machine.name, id=identifier, line=f"{method} {path}",
            status=answer.status if answer else "none", ms=round((now() - sent) * 1000),
            stamp=answer.get(PREFIX + "Response-Stamp") if answer else "")
        return identifier, answer


def main(folder, play):
    """Runs a case: exit 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        # Connections that end with the case are no fault of it.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *unused: None)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        async with asyncio.timeout(115):
            return await play(trouble)

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # The case could not be played.
        print("the case could not run:", repr(error))
        code = 2
    sys.exit(code)
