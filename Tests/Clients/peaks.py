"""Prints a node's peak of resident memory under large crowds. No verdict.

    python3 Tests/Clients/peaks.py uploads|connections|readers"""

import resource
import sys
import time

from crowds import KIB, MIB, Crowd, Mesh, ordinary_call, peak_mb
from windows import readers, start

UPLOADS, UPLOAD_BYTES, PIECE_BYTES = 32, 60 * MIB, MIB
CONNECTIONS = 1000
READERS, ANSWER_BYTES = 200, 8 * MIB - 64 * KIB
SETTLE_SECONDS = 5
DESCRIPTORS = 4100


def uploads(address):
    """Bodies that stop just short of their end."""
    crowd = Crowd(address)
    crowd.start_bodies(UPLOADS, "/upload/2", UPLOAD_BYTES)
    crowd.send_in_step(UPLOAD_BYTES - KIB, chunked=False, piece=PIECE_BYTES)
    return crowd


def connections(address):
    """Kept connections, each with one request answered."""
    crowd = Crowd(address)
    for _ in range(CONNECTIONS):
        it = crowd.connect()
        crowd.send(it, b"GET /short/2 HTTP/1.1\r\nHost: desk\r\n\r\n")
        it.recv(KIB)
    return crowd


CASES = {"uploads": uploads, "connections": connections, "readers": readers(READERS, ANSWER_BYTES)}


def main():
    if len(sys.argv) != 2 or sys.argv[1] not in CASES:
        print(f"usage: peaks.py {'|'.join(CASES)}")
        return 2
    # This process has as many connections.
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, most))
    with Mesh() as mesh:
        nodes = start(mesh, 2, DESCRIPTORS)
        crowd = CASES[sys.argv[1]](nodes[0].address("calls"))
        time.sleep(SETTLE_SECONDS)
        status = ordinary_call(nodes[0].address("calls"))
        peaks = ", ".join(f"{peak_mb(it.process.pid):.0f}" for it in nodes)
        print(f"{sys.argv[1]}: peak {peaks} MB, ordinary call: {status}, {len(crowd.sockets)} clients")
        for it in crowd.sockets:
            it.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
