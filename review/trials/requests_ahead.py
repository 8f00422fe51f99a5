"""A trial, not a case: clients send DEPTH requests ahead on a connection and leave
while backends work on them. Prints how many requests reach a backend over half a
second after their client has left."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from mesh import HOST as IP, Mesh  # noqa: E402

DEPTH = int(os.environ.get("DEPTH", "20"))
CLIENTS = 8


async def main():
    mesh = Mesh(FOLDER)
    try:
        for zone in "abc":
            mesh.add("lookup", zone, work=2.0)
        desk, _ = mesh.add("desk", "a")
        await mesh.start([{"host": "jepu9.example", "pathPrefix": "/lepu270/",
                           "service": "lookup", "timeout": 4000}], ["lookup", "desk"])
        left = {}
        for _ in range(CLIENTS):
            _, writer = await asyncio.open_connection(IP, desk.ports["calls"])
            ids = [mesh.next_id() for _ in range(DEPTH)]
            for request_id in ids:
                writer.write(f"GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\n"
                             f"X-Radishcross-Request-Id: {request_id}\r\n"
                             "X-Radishcross-Deadline-Ms: 4000\r\n\r\n".encode())
            await writer.drain()
            await asyncio.sleep(0.4)
            writer.close()
            left |= dict.fromkeys(ids, mesh.record.now())
            await asyncio.sleep(4)
        late = [run for backend in mesh.backends for run in backend.runs
                if run[0] > left[run[1]] + 0.5]
        print(f"{DEPTH} ahead: {len(late)} requests of {CLIENTS * DEPTH} reached backends late")
    finally:
        await mesh.stop()


asyncio.run(main())
