"""Crowds of clients that keep to no limit, each against a node process on loopback.

    python3 Tests/Clients/crowds.py CASE

Checks only what doesn't depend on the speed of the machine: the process lives, its
peak of resident memory and its open descriptors stay under a bound, and an ordinary
request is answered while the crowd is still there. Exits with 1 if one of these
fails, with 2 if the case couldn't be set up."""

import http.client
import json
import os
import resource
import socket
import sys
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "Meta"))
from mesh import HOST, Mesh, fetch, free_ports, wait_until  # noqa: E402

KIB, MIB = 1 << 10, 1 << 20

# The crowds.
BODY_LIMIT = 16 * MIB
UPLOADS = 24
SMALL_BODY_LIMIT = MIB  # Listeners of targets and of administration.
SMALL_UPLOADS = 300
SHORT_BY = KIB
LARGEST_BODY = 64 * MIB  # The case without a crowd.
READERS, ANSWER_BYTES = 40, 8 * MIB - 64 * KIB
CONNECTIONS, DESCRIPTORS = 400, 256

# The bounds.
PEAK_MB = 192
OPEN_DESCRIPTORS = DESCRIPTORS - 32

# Only ends a case that hangs.
HANG_SECONDS = 30
SEND_SECONDS = 5
SETTLE_SECONDS = 1



def document(body_limit):
    return {
        "services": [{"name": "desk"}],
        "limits": {"body_bytes": body_limit, "header_timeout_ms": 60000},
        "routes": [
            {"name": "all", "match": {"path_prefix": "/"}, "service": "desk", "rank": "standard",
             "deadline_ms": 20000, "idempotent": False},
        ],
    }


class Target:
    """A target that reads what it is sent and answers with as many bytes as the
    last word of the path says."""

    def __init__(self, node, service="desk"):
        self.node = node
        self.service = service
        self.listener = socket.create_server((HOST, free_ports(1)[0]), backlog=512)
        self.address = "%s:%d" % self.listener.getsockname()
        self.epoch = 0
        self.refused = 0
        for work in (self.accept, self.announce):
            threading.Thread(target=work, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        file = connection.makefile("rb")
        try:
            while head := file.readline():
                size = 0
                while (line := file.readline()) not in (b"\r\n", b""):
                    if line.lower().startswith(b"content-length:"):
                        size = int(line.split(b":")[1])
                while size:
                    size -= len(file.read(min(size, MIB)))
                word = head.split(b" ")[1].rsplit(b"/", 1)[1]
                body = b"x" * (int(word) if word.isdigit() else 2)
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except OSError:
            pass
        connection.close()

    def announce(self):
        while True:
            body = {"service": f"desk/{self.service}", "target": self.address, "address": self.address,
                    "state": "ready", "slots": 64, "connections": 120, "load_permille": 0,
                    "epoch": self.epoch}
            try:
                status, answer = fetch(self.node.address("targets"), "/v1/targets", method="POST", body=body)
                self.epoch = answer["epoch"] if status == 200 else 0
            except OSError:
                pass
            time.sleep(0.3)


def split(address):
    host, port = address.split(":")
    return host, int(port)


class Crowd:
    """The connections of one crowd; they stay open until the case ends."""

    def __init__(self, address):
        self.address = split(address)
        self.sockets = []
        self.faults = []

    def connect(self, receive_bytes=None):
        it = socket.socket()
        if receive_bytes:
            it.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        it.settimeout(SEND_SECONDS)
        it.connect(self.address)
        self.sockets.append(it)
        return it

    def send(self, it, data):
        """Sends what the node takes; returns False once it has closed or takes no more."""
        try:
            it.sendall(data)
            return True
        except OSError:
            return False

    def start_bodies(self, count, path, length):
        """Opens connections with the head of an upload; chunked without a length."""
        field = f"Content-Length: {length}" if length else "Transfer-Encoding: chunked"
        for _ in range(count):
            self.send(self.connect(), f"POST {path} HTTP/1.1\r\nHost: desk\r\n{field}\r\n\r\n".encode())

    def send_in_step(self, total, chunked, piece=256 * KIB):
        """Sends the bodies side by side, a piece of each at a time."""
        alive = list(self.sockets)
        sent = 0
        while sent < total and alive:
            n = min(piece, total - sent)
            data = b"x" * n
            if chunked:
                data = b"%x\r\n" % n + data + b"\r\n"
            alive = [it for it in alive if self.send(it, data)]
            sent += n


def uploads(listener, path="/upload/2", count=UPLOADS, limit=BODY_LIMIT, chunked=False):
    """Bodies of legal size that stop just short of their end."""

    def run(mesh):
        crowd = Crowd(mesh.nodes[0].address(listener))
        crowd.start_bodies(count, path, None if chunked else limit)
        crowd.send_in_step(limit - SHORT_BY, chunked)
        return crowd

    return run


def bodies_over_limit(mesh):
    """Half announce 1 GiB, half are chunked and never end."""
    crowd = Crowd(mesh.nodes[0].address("calls"))
    crowd.start_bodies(UPLOADS, "/upload/2", 1 << 30)
    announced = Crowd(mesh.nodes[0].address("calls"))
    announced.sockets, crowd.sockets = crowd.sockets, []
    crowd.start_bodies(UPLOADS, "/upload/2", None)
    announced.send_in_step(4 * MIB, chunked=False)
    crowd.send_in_step(2 * BODY_LIMIT, chunked=True)
    crowd.sockets += announced.sockets
    return crowd


def slow_readers(mesh):
    """Ask for long answers and read none of them."""
    crowd = Crowd(mesh.nodes[0].address("calls"))
    for _ in range(READERS):
        crowd.send(crowd.connect(receive_bytes=4 * KIB),
                   f"GET /long/{ANSWER_BYTES} HTTP/1.1\r\nHost: desk\r\n\r\n".encode())
    return crowd


def idle_connections(mesh):
    """More connections than the process may have descriptors."""
    crowd = Crowd(mesh.nodes[0].address("calls"))
    for _ in range(CONNECTIONS):
        crowd.connect()
    return crowd


def largest_uploads(mesh):
    """One upload of the largest size at a time; each is served."""
    crowd = Crowd(mesh.nodes[0].address("calls"))
    for chunked in (False, True):
        status = ordinary_call(mesh.nodes[0].address("calls"), LARGEST_BODY, chunked)
        if status != 200:
            crowd.faults.append(f"an upload of the largest size (chunked: {chunked}) is answered {status}")
    return crowd


CASES = {
    "largest-uploads-in-calm": largest_uploads,
    "uploads-stop-short": uploads("calls"),
    "chunked-uploads-stop-short": uploads("calls", chunked=True),
    "bodies-over-the-limit": bodies_over_limit,
    "slow-readers": slow_readers,
    "idle-connections": idle_connections,
    "mesh-uploads-stop-short": uploads("mesh"),
    "targets-uploads-stop-short": uploads("targets", "/v1/targets", SMALL_UPLOADS, SMALL_BODY_LIMIT),
    "administration-uploads-stop-short":
        uploads("administration", "/v1/changes", SMALL_UPLOADS, SMALL_BODY_LIMIT),
}


def ordinary_call(address, body_bytes=KIB, chunked=False):
    """Returns the status of one ordinary request, or what failed."""
    connection = http.client.HTTPConnection(*split(address), timeout=HANG_SECONDS)
    try:
        body = b"x" * body_bytes
        pieces = (body[at:at + MIB] for at in range(0, body_bytes, MIB)) if chunked else body
        connection.request("POST", "/ordinary/2", body=pieces, headers={"Host": "desk"}, encode_chunked=chunked)
        answer = connection.getresponse()
        answer.read()
        return answer.status
    except OSError as error:
        return repr(error)
    except http.client.HTTPException as error:
        return repr(error)
    finally:
        connection.close()


def is_ready(address):
    try:
        return fetch(address, "/readyz", timeout=HANG_SECONDS)[0] == 200
    except OSError:
        return False


def start(mesh, body_limit):
    """Starts a node whose descriptors are limited, and a target."""
    mesh.start_platform()
    node = mesh.add_nodes(1, ["mobile"])[0]
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    ours = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, most))
    mesh.start_node(node)
    resource.setrlimit(resource.RLIMIT_NOFILE, ours)
    mesh.wait_ready()
    Target(node)
    path = mesh.folder / "desk.json"
    path.write_text(json.dumps(document(body_limit)))
    version = mesh.command("publish", path, "--configuration", "desk")["version"]
    wait_until(lambda: mesh.holding("desk", version), "the node holds the version")
    # The default limit of a body is 1 MiB.
    wait_until(lambda: ordinary_call(node.address("calls"), 2 * MIB) == 200, "the node's limits are in force")
    return node


def peak_mb(pid):
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


def check(mesh, node, run):
    before = peak_mb(node.process.pid)
    crowd = run(mesh)
    time.sleep(SETTLE_SECONDS)  # Lets the node read what has been sent.
    faults = list(crowd.faults)
    if node.process.poll() is not None:
        print(f"FAILED: the process ended with {node.process.returncode}; logs in {mesh.folder}")
        return 1
    descriptors = len(os.listdir(f"/proc/{node.process.pid}/fd"))
    status = ordinary_call(node.address("calls"))
    ready = is_ready(node.address("administration"))
    if node.process.poll() is not None:
        faults.append(f"the process ended with {node.process.returncode}")
        peak = 0.0
    else:
        peak = peak_mb(node.process.pid)
    print(f"peak {peak:.0f} MB (before the crowd {before:.0f}, bound {PEAK_MB}), {descriptors} descriptors "
          f"(bound {OPEN_DESCRIPTORS}), ordinary call: {status}, administration answers: {ready}, "
          f"{len(crowd.sockets)} clients")
    if peak > PEAK_MB:
        faults.append("memory is over its bound")
    if descriptors > OPEN_DESCRIPTORS:
        faults.append("descriptors are over their bound")
    if status != 200:
        faults.append("an ordinary call is not served")
    if not ready:
        faults.append("administration does not answer")
    for it in crowd.sockets:
        it.close()
    if faults:
        print(f"FAILED: {'; '.join(faults)}")
    return 1 if faults else 0


def main():
    if len(sys.argv) != 2 or sys.argv[1] not in CASES:
        print(f"usage: crowds.py {'|'.join(CASES)}")
        return 2
    with Mesh() as mesh:
        try:
            node = start(mesh, LARGEST_BODY if sys.argv[1] == "largest-uploads-in-calm" else BODY_LIMIT)
        except (OSError, RuntimeError, TimeoutError) as error:
            print(f"cannot set up: {error}; logs in {mesh.folder}")
            return 2
        return check(mesh, node, CASES[sys.argv[1]])


if __name__ == "__main__":
    sys.exit(main())
