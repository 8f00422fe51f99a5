"""A request that crashes every backend that runs it is sent again and again,
while other callers' requests with the same path are answered."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
from mesh import STABLE_WINDOW, TROUBLE, Backend, run_case  # noqa: E402

HOST, PATH = "jepu9.example", "/lepu270/2f"
DEAD_SECONDS = 3.0
RETRIES, RETRY_SECONDS = 18, 2.0


class Lookup(Backend):
    """Crashes at the request with PATH of the service "till"."""

    crashes = []

    async def run(self, message):
        path = message.first.split(" ")[1]
        if TROUBLE and path == PATH and message.get("X-Radishcross-Caller-Service") == "till":
            Lookup.crashes.append(self.mesh.record.now())
            self.mesh.record.add(f"  {self.id} crashes")
            asyncio.get_running_loop().call_later(
                DEAD_SECONDS, lambda: asyncio.ensure_future(self.boot()))
            self.end()
        return await super().run(message)


async def scenario(mesh):
    for zone in "abc":
        node, _ = mesh.add("lookup", zone)
        mesh.backends[-1] = Lookup(mesh, node)
    desks = [mesh.add("desk", zone)[0] for zone in "abc"]
    tills = [mesh.add("till", zone)[0] for zone in "ab"]
    await mesh.start([{"host": HOST, "pathPrefix": "/lepu270/", "service": "lookup"}],
                     ["lookup", "desk", "till"])
    others = []

    async def usual_traffic():
        for i in range(1_000_000):
            others.append(asyncio.create_task(mesh.call(desks[i % 3], "GET", HOST, PATH)))
            await asyncio.sleep(0.1)

    usual = asyncio.create_task(usual_traffic())
    await asyncio.sleep(3)
    sent = []
    for i in range(RETRIES):
        at = mesh.record.now()
        request_id, _ = await mesh.call(tills[i % 2], "GET", HOST, PATH)
        sent.append((at, request_id))
        await asyncio.sleep(RETRY_SECONDS)
    usual.cancel()
    answers = await asyncio.gather(*others)
    arrived = {run[1] for backend in mesh.backends for run in backend.runs}
    lost = sum(status != 200 for _, status in answers)
    crashes = Lookup.crashes
    late = [it for at, it in sent
            if len(crashes) >= 3 and at > crashes[2] + STABLE_WINDOW and it in arrived]
    mesh.record.add(f"{len(crashes)} crashes; {len(late)} retries that were sent over "
                    f"{STABLE_WINDOW} s after the third crash reached backends (at most 3 may); "
                    f"of {len(answers)} requests of other callers {lost} were not served")
    return len(late) <= 3


run_case(CASE, scenario)
