"""What a node holds of long answers and long bodies, each case against node
processes on loopback.

    python3 Tests/Clients/windows.py CASE

Checks only what doesn't depend on the speed of the machine: each process lives, its
peak of resident memory stays under a bound, and an ordinary request is answered
while the crowd is still there. Exits with 1 if one of these fails, with 2 if the
case couldn't be set up."""

import json
import resource
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "Meta"))
from mesh import Mesh, wait_until  # noqa: E402

from crowds import (Crowd, KIB, LARGEST_BODY, MIB, SETTLE_SECONDS, Target, document, is_ready,  # noqa: E402
                    ordinary_call, peak_mb)

# The crowds.
READERS, ANSWER_BYTES = 24, 4 * MIB
READERS_BEYOND_SLOTS, SHORTER_ANSWER_BYTES = 150, MIB  # The target has 64 slots.
DESCRIPTORS = 1024

# The bounds.
WINDOWS_PEAK_MB = 64
BEYOND_SLOTS_PEAK_MB = 96
UPLOAD_PEAK_MB = 104  # One body of 64 MiB.


def readers(count, answer_bytes):
    """Ask for long answers and read none of them."""

    def run(address):
        crowd = Crowd(address)
        for _ in range(count):
            crowd.send(crowd.connect(receive_bytes=4 * KIB),
                       f"GET /long/{answer_bytes} HTTP/1.1\r\nHost: desk\r\n\r\n".encode())
        return crowd

    return run


def upload(chunked):
    """One upload of the largest size."""

    def run(address):
        crowd = Crowd(address)
        status = ordinary_call(address, LARGEST_BODY, chunked)
        if status != 200:
            crowd.faults.append(f"an upload of the largest size is answered {status}")
        return crowd

    return run


# How many nodes, the crowd at the first, the bound of each; the target is at the last.
CASES = {
    "slow-readers-one-node": (1, readers(READERS, ANSWER_BYTES), WINDOWS_PEAK_MB),
    "slow-readers-two-nodes": (2, readers(READERS, ANSWER_BYTES), WINDOWS_PEAK_MB),
    "slow-readers-beyond-slots":
        (2, readers(READERS_BEYOND_SLOTS, SHORTER_ANSWER_BYTES), BEYOND_SLOTS_PEAK_MB),
    "sized-upload-held-once": (2, upload(chunked=False), UPLOAD_PEAK_MB),
    "chunked-upload-held-once": (2, upload(chunked=True), UPLOAD_PEAK_MB),
}


def start(mesh, count, descriptors=DESCRIPTORS):
    mesh.start_platform()
    nodes = mesh.add_nodes(count, ["mobile"])
    ours = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, ours[1]))
    for node in nodes:
        mesh.start_node(node)
    resource.setrlimit(resource.RLIMIT_NOFILE, ours)
    mesh.wait_ready()
    Target(nodes[-1])
    path = mesh.folder / "desk.json"
    path.write_text(json.dumps(document(LARGEST_BODY)))
    version = mesh.command("publish", path, "--configuration", "desk")["version"]
    wait_until(lambda: len(mesh.holding("desk", version)) == count, "the nodes hold the version")
    # The default limit of a body is 1 MiB.
    wait_until(lambda: ordinary_call(nodes[0].address("calls"), 2 * MIB) == 200, "the limits are in force")
    return nodes


def check(nodes, run, bound):
    before = [peak_mb(it.process.pid) for it in nodes]
    crowd = run(nodes[0].address("calls"))
    time.sleep(SETTLE_SECONDS)  # Lets the nodes read what has been sent.
    faults = list(crowd.faults)
    status = ordinary_call(nodes[0].address("calls"))
    if status != 200:
        faults.append(f"an ordinary call is answered {status}")
    for node, peak_before in zip(nodes, before):
        if node.process.poll() is not None:
            faults.append(f"{node.name} ended with {node.process.returncode}")
            continue
        ready = is_ready(node.address("administration"))
        peak = peak_mb(node.process.pid)
        print(f"{node.name}: peak {peak:.0f} MB (before {peak_before:.0f}, bound {bound}), ordinary call: {status}, "
              f"administration answers: {ready}, {len(crowd.sockets)} clients")
        if peak > bound:
            faults.append(f"{node.name}: memory is over its bound")
        if not ready:
            faults.append(f"{node.name}: administration does not answer")
    for it in crowd.sockets:
        it.close()
    if faults:
        print(f"FAILED: {'; '.join(faults)}")
    return 1 if faults else 0


def main():
    if len(sys.argv) != 2 or sys.argv[1] not in CASES:
        print(f"usage: windows.py {'|'.join(CASES)}")
        return 2
    count, run, bound = CASES[sys.argv[1]]
    with Mesh() as mesh:
        try:
            nodes = start(mesh, count)
        except (OSError, RuntimeError, TimeoutError) as error:
            print(f"cannot set up: {error}; logs in {mesh.folder}")
            return 2
        return check(nodes, run, bound)


if __name__ == "__main__":
    sys.exit(main())
