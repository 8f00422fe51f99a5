"""A backend leaves while the store is down, and all processes are killed before it is back."""

import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
from mesh import *  # noqa: E402,F403

DRAIN_S, STABLE_S = 2.0, 3.0  # Bounds `drain` and `stableWindow`.
STORE_DOWN_S = 4.0
KILLED_AFTER_S = 0.3  # After the ack.
DOWN_S = 1.0
REPORT_LATE_S = 4.0  # A report of before the leave arrives so much late.
SERVES_S = 10.0  # The backend serves on for this time after the ack.


async def play(trouble):
    mesh = Mesh(HERE, ["look", "desk"] * 3)
    try:
        mesh.configure(3, [route("look", "shop.example", "/look/", "look", kind="unsafe")],
                       ["look", "desk"])
        await mesh.start()
        if not await mesh.all_ready():
            return 2
        await asyncio.sleep(STABLE_S + 1)
        leaver = mesh.backends[0]
        for it in mesh.backends:
            it.work = 0.2
        store_back = started = now()
        if trouble:
            mesh.store.mode = "silent"
            mesh.record.line("store down")
            store_back = now() + STORE_DOWN_S
        leaver.beats = False
        leaver.sequence += 1
        late_sequence, sent = leaver.sequence, now()  # The report that arrives late.
        await asyncio.sleep(0.2)
        if not await leaver.leave():
            return 2
        acknowledged = now()
        mesh.record.line("leave acknowledged", backend=leaver.machine.name)
        if trouble:
            await asyncio.sleep(KILLED_AFTER_S)
            for it in mesh.machines:
                it.kill()
            await asyncio.sleep(DOWN_S)
            for it in mesh.machines:
                it.start()
            started = now()
            await asyncio.sleep(max(0.0, store_back - now()))
            mesh.store.mode = ""
            mesh.record.line("store up")
        await asyncio.sleep(max(0.0, sent + REPORT_LATE_S - now()))
        taken = await leaver.beat("ready", sequence=late_sequence)
        mesh.record.line("late report", acknowledged=taken)
        if not await mesh.all_ready():
            return 2
        calls = []
        while now() < acknowledged + SERVES_S:
            client = Client(mesh, random.choice(mesh.machines))
            calls.append(asyncio.create_task(client.call(
                "POST", "/look/" + secrets.token_hex(4), "shop.example", body=b"x")))
            await asyncio.sleep(0.05)
        leaver.stop()
        mesh.record.line("backend ended")
        answers = await asyncio.gather(*calls)
        first = max(acknowledged + DRAIN_S, started + STABLE_S, store_back + STABLE_S)
        late = [key for key, runs in mesh.runs.items()
                if any(it is leaver for _, it, _ in runs) and mesh.sent[key] > first]
        failed = sum(1 for key, answer in answers
                     if key in late and (answer is None or answer.status != 200))
        mesh.record.line("verdict", late=len(late), failed=failed, allowed=0)
        print("requests at the backend that left, later than `drain`:", len(late),
              "of these not served:", failed)
        return 1 if late else 0
    finally:
        mesh.stop()


main(HERE, play)
