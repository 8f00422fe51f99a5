"""A key is taken away while a node is cut off from the store, which refuses it: the
node learns of that from its peers.

    python3 Tests/Clients/revoked_key.py

Checks only what doesn't depend on the speed of the machine. Exits with 1 if a check
fails, with 2 if the nodes could not be set up."""

import hashlib
import json
import socket
import sys
import threading
import urllib.error
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "Meta"))
from mesh import HOST, Mesh, free_ports, wait_until  # noqa: E402

DATA_CENTRES = ["mobile", "savannah", "macon"]
CONFIGURATION = "desk"
KEY, OTHER_KEY = "the key that is taken away", "the key that stays"
CALL_SECONDS = 20  # Only ends a case that hangs.


class Door:
    """Passes one node's connections on to the store; once shut it refuses them."""

    def __init__(self, store):
        self.store = store.split(":")
        self.listener = socket.create_server((HOST, free_ports(1)[0]))
        self.address = "%s:%d" % self.listener.getsockname()
        self.open = True
        self.refused = 0
        self.sockets = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            if not self.open:
                self.refused += 1
                client.close()
                continue
            store = socket.create_connection((self.store[0], int(self.store[1])))
            self.sockets += [client, store]
            for ends in ((client, store), (store, client)):
                threading.Thread(target=self.copy, args=ends, daemon=True).start()

    @staticmethod
    def copy(source, sink):
        try:
            while data := source.recv(1 << 16):
                sink.sendall(data)
        except OSError:
            pass
        for it in (source, sink):
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def shut(self):
        self.open = False
        for it in self.sockets:
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def document(keys):
    return {
        "services": [{"name": "desk"}],
        "routes": [{"name": "all", "match": {"path_prefix": "/"}, "service": "desk",
                    "rank": "standard", "deadline_ms": 5000, "idempotent": False}],
        "tenants": [{"name": "acme",
                     "keys_sha256": [hashlib.sha256(it.encode()).hexdigest() for it in keys]}],
    }


def publish(mesh, node, keys):
    path = mesh.folder / "desk.json"
    path.write_text(json.dumps(document(keys)))
    return mesh.command("publish", path, "--configuration", CONFIGURATION, node=node)["version"]


def status(node, key):
    """Returns the status of a request with a key. There is no target, so one that is
    let in gets 503."""
    request = urllib.request.Request(f"http://{node.address('calls')}/", headers={"X-Radishcross-Key": key})
    try:
        with urllib.request.urlopen(request, timeout=CALL_SECONDS) as answer:
            return answer.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


def start(mesh):
    mesh.start_platform()
    nodes = mesh.add_nodes(1, DATA_CENTRES)
    door = Door(mesh.platform_address)
    nodes[-1].settings["platform"] = {"addresses": [door.address]}
    for node in nodes:
        mesh.start_node(node)
    mesh.wait_ready()
    publish(mesh, nodes[0], [KEY, OTHER_KEY])
    for node in nodes:
        wait_until(lambda: status(node, KEY) == 503, f"{node.name} lets the key in")
    return nodes, door


def check(mesh, nodes, door):
    cut_off = nodes[-1]
    door.shut()
    wait_until(lambda: door.refused > 0, "the store refuses the node")
    publish(mesh, nodes[0], [OTHER_KEY])
    faults = []
    try:
        wait_until(lambda: status(cut_off, KEY) == 401, "the key is refused at the node that is cut off")
    except TimeoutError as error:
        faults.append(str(error))
    if status(cut_off, OTHER_KEY) != 503:
        faults.append("the other key is not let in any more")
    if cut_off.process.poll() is not None:
        faults.append(f"the process ended with {cut_off.process.returncode}")
    print(f"FAILED: {'; '.join(faults)}; logs in {mesh.folder}" if faults
          else f"refused at the node that is cut off; the store refused it {door.refused} times")
    return 1 if faults else 0


def main():
    with Mesh() as mesh:
        try:
            nodes, door = start(mesh)
        except (OSError, RuntimeError, TimeoutError) as error:
            print(f"cannot set up: {error}; logs in {mesh.folder}")
            return 2
        return check(mesh, nodes, door)


if __name__ == "__main__":
    sys.exit(main())
