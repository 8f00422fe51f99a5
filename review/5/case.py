"""A backend leaves, its node is stopped and started again, and a liveness report
that the backend had sent before it left arrives late."""

import asyncio
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))
from mesh import DRAIN, STABLE_WINDOW, TROUBLE, CannotRun, run_case  # noqa: E402

HOST = "jepu9.example"
SERVES_ON_SECONDS = 10.0


async def scenario(mesh):
    for zone in "ab":
        mesh.add("lookup", zone, work=0.2)
    desks = [mesh.add("desk", zone)[0] for zone in "ab"]
    await mesh.start([{"host": HOST, "pathPrefix": "/lepu270/", "service": "lookup"},
                      {"host": HOST, "pathPrefix": "/xapu221/", "service": "lookup",
                       "kind": "unsafe"}],
                     ["lookup", "desk"])
    calls = []

    async def traffic():
        for i in range(1_000_000):
            method, path = [("GET", "/lepu270/2f"), ("POST", "/xapu221/2f")][i // 2 % 2]
            calls.append(asyncio.create_task(mesh.call(desks[i % 2], method, HOST, path)))
            await asyncio.sleep(0.05)

    usual = asyncio.create_task(traffic())
    await asyncio.sleep(2)
    node, backend = mesh.nodes[0], mesh.backends[0]
    late_report = backend.report()
    backend.beats.cancel()
    status = await backend.send_leave()
    if status != 200:
        raise CannotRun(f"the leave was answered {status}")
    acked = in_touch_from = mesh.record.now()
    mesh.record.add(f"{backend.id} says that it leaves; {node.name} answers {status}")
    await asyncio.sleep(0.5)
    if TROUBLE:
        node.kill(signal.SIGTERM)
        mesh.record.add(f"{node.name} gets SIGTERM")
        while node.process.poll() is None:
            await asyncio.sleep(0.05)
        node.start()
        await mesh.wait_ready([node])
        in_touch_from = mesh.record.now() + STABLE_WINDOW
        status = await backend.send_report(late_report)
        mesh.record.add(f"a report of {backend.id} of before it left arrives; "
                        f"{node.name} answers {status}")
    await asyncio.sleep(max(0.0, acked + SERVES_ON_SECONDS - mesh.record.now()))
    backend.end()
    ended = mesh.record.now()
    mesh.record.add(f"{backend.id} exits")
    await asyncio.sleep(1)
    usual.cancel()
    answers = await asyncio.gather(*calls)
    since = max(acked + DRAIN, in_touch_from)
    late = [run for run in backend.runs if run[0] > since]
    lost = sum(status in (0, 502, 504) for _, status in answers)
    mesh.record.add(f"{len(late)} requests reached {backend.id} later than {DRAIN} s after the "
                    f"ack, sent on by machines in touch, between {since:.1f} s and {ended:.1f} s; "
                    f"{lost} of {len(answers)} requests ended with a failure")
    return not late


run_case(CASE, scenario)
