"""A faulty target sends bytes without end, to many callers at a time, against node
processes on loopback.

    python3 Tests/Clients/endless_answers.py CASE

The case says what never ends: a part of a head, a body, or what comes behind an
answer. Checks only what doesn't depend on the speed of the machine: each process
lives, its peak of resident memory stays under a bound, requests to another target
are answered meanwhile, and no caller gets an endless answer that looks complete.
Exits with 1 if one of these fails, with 2 if the case couldn't be set up."""

import json
import socket
import sys
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "Meta"))
from mesh import Mesh, wait_until  # noqa: E402

from crowds import HANG_SECONDS, KIB, MIB, Target, is_ready, ordinary_call, peak_mb, split  # noqa: E402

# The crowd: half of the callers read what comes, half read nothing; a third send a
# key, so that their answers are read whole before they are passed on.
CALLERS = 48
DEADLINE_MS = 3000
ORDINARY_CALLS = 5

# The bounds.
PEAK_MB = 192
SENT_BYTES = 512 * MIB  # A connection of the faulty target sends no more.

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

# What the faulty target sends once, and then again and again.
CASES = {
    "status-line": (b"HTTP/1.1 200 ", b"x"),
    "field": (HEAD + b"A: ", b"x"),
    "fields": (HEAD, b"A: b\r\n"),
    "interim-answers": (b"", b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"),
    "no-answer": (b"", b"\x00\xff"),
    "body-of-no-length": (HEAD + b"\r\n", b"x"),
    "body-of-great-length": (HEAD + b"Content-Length: 4611686018427387904\r\n\r\n", b"x"),
    "chunks": (CHUNKED, b"5\r\nxxxxx\r\n"),
    "one-chunk": (CHUNKED + b"fffffffffffffff\r\n", b"x"),
    "size-of-a-chunk": (CHUNKED, b"0"),
    "extension-of-a-chunk": (CHUNKED + b"5;", b"x"),
    "trailers": (CHUNKED + b"5\r\nxxxxx\r\n0\r\n", b"A: b\r\n"),
    "behind-an-answer": (HEAD + b"Content-Length: 2\r\n\r\nok", b"x"),
}

# Cases in which an answer ends before what never does.
ANSWERED = {"behind-an-answer"}


class FaultyTarget(Target):
    def __init__(self, node, first, again):
        self.first = first
        self.block = again * (64 * KIB // len(again))
        self.calls = 0
        super().__init__(node, "faulty")

    def serve(self, connection):
        try:
            while connection.recv(64 * KIB).startswith(b"GET /endless"):
                self.calls += 1
                connection.sendall(self.first)
                for _ in range(SENT_BYTES // len(self.block)):
                    connection.sendall(self.block)
        except OSError:
            pass
        connection.close()


class Caller:
    def __init__(self, address, reads, key=""):
        self.socket = socket.socket()
        if not reads:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * KIB)
        self.socket.settimeout(HANG_SECONDS)
        self.socket.connect(split(address))
        line = f"GET /endless/{'keyed' if key else 'open'} HTTP/1.1\r\nHost: desk\r\n"
        self.socket.sendall((line + (f"Idempotency-Key: {key}\r\n" if key else "") + "\r\n").encode())
        self.start = b""
        self.tail = b""
        if reads:
            threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        try:
            while data := self.socket.recv(256 * KIB):
                self.start = (self.start + data)[:4 * KIB] if len(self.start) < 4 * KIB else self.start
                self.tail = (self.tail + data)[-8:]
        except OSError:
            pass

    def looks_complete(self):
        """Returns whether it got a success whose end is marked."""
        head = self.start.partition(b"\r\n\r\n")[0].lower()
        if not head.startswith(b"http/1.1 200"):
            return False
        return b"content-length" in head or self.tail.endswith(b"0\r\n\r\n")


def document():
    route = {"rank": "standard", "idempotent": True, "max_attempts": 2}
    return {
        "services": [{"name": "desk"}, {"name": "faulty"}],
        "routes": [
            {"name": "all", "match": {"path_prefix": "/"}, "service": "desk", "deadline_ms": 20000, **route},
            {"name": "endless", "match": {"path_prefix": "/endless"}, "service": "faulty",
             "deadline_ms": DEADLINE_MS, **route},
            {"name": "keyed", "match": {"path_prefix": "/endless/keyed"}, "service": "faulty",
             "deadline_ms": DEADLINE_MS, **route, "idempotent": False},
        ],
    }


def start(mesh, first, again):
    mesh.start_platform()
    nodes = mesh.add_nodes(2, ["mobile"])
    for node in nodes:
        mesh.start_node(node)
    mesh.wait_ready()
    Target(nodes[1])
    faulty = FaultyTarget(nodes[1], first, again)
    path = mesh.folder / "desk.json"
    path.write_text(json.dumps(document()))
    version = mesh.command("publish", path, "--configuration", "desk")["version"]
    wait_until(lambda: len(mesh.holding("desk", version)) == 2, "the nodes hold the version")
    wait_until(lambda: ordinary_call(nodes[0].address("calls")) == 200, "the sound target is known")
    return nodes, faulty


def check(nodes, faulty, is_answered):
    address = nodes[0].address("calls")
    before = [peak_mb(it.process.pid) for it in nodes]
    callers = [Caller(address, reads=n % 2 == 0, key=f"k{n}" if n % 3 == 0 else "") for n in range(CALLERS)]
    statuses = []
    for _ in range(ORDINARY_CALLS):
        statuses.append(ordinary_call(address))
        time.sleep(DEADLINE_MS / 1000 / ORDINARY_CALLS)
    faults = []
    if faulty.calls == 0:
        faults.append("no call reached the faulty target")
    if any(it != 200 for it in statuses):
        faults.append(f"ordinary calls are answered {statuses}")
    if not is_answered and any(it.looks_complete() for it in callers):
        faults.append("an answer without end looks complete")
    for node, peak_before in zip(nodes, before):
        if node.process.poll() is not None:
            faults.append(f"{node.name} ended with {node.process.returncode}")
            continue
        peak = peak_mb(node.process.pid)
        ready = is_ready(node.address("administration"))
        print(f"{node.name}: peak {peak:.0f} MB (before {peak_before:.0f}, bound {PEAK_MB}), ordinary calls: "
              f"{statuses}, administration answers: {ready}, {faulty.calls} calls at the faulty target")
        if peak > PEAK_MB:
            faults.append(f"{node.name}: memory is over its bound")
        if not ready:
            faults.append(f"{node.name}: administration does not answer")
    for it in callers:
        it.socket.close()
    if faults:
        print(f"FAILED: {'; '.join(faults)}")
    return 1 if faults else 0


def main():
    if len(sys.argv) != 2 or sys.argv[1] not in CASES:
        print(f"usage: endless_answers.py {'|'.join(CASES)}")
        return 2
    with Mesh() as mesh:
        try:
            nodes, faulty = start(mesh, *CASES[sys.argv[1]])
        except (OSError, RuntimeError, TimeoutError) as error:
            print(f"cannot set up: {error}; logs in {mesh.folder}")
            return 2
        return check(nodes, faulty, sys.argv[1] in ANSWERED)


if __name__ == "__main__":
    sys.exit(main())
