"""Not a case: no rule in force covers it (see REPORT-2.md). Payments are sent with an
idempotency key and sent again with the same key after the nodes were killed and started.
Exits with 1 if one ran twice, 0 if none did. TROUBLE=0: without the kills."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
from mesh import *  # noqa: E402,F403

PAYMENTS = 8


async def play(trouble):
    mesh = Mesh(HERE, ["till", "till", "till", "desk"], zones=["zone-a"])
    try:
        mesh.configure(3, [route("pay", "shop.example", "/pay/", "till", kind="unsafe",
                                 timeout=2000)], ["till", "desk"])
        await mesh.start()
        if not await mesh.all_ready():
            return 2
        await asyncio.sleep(4)
        client = Client(mesh, mesh.machines[3])

        async def pay(number):
            identifier, _ = await client.call(
                "POST", "/pay/fee", "shop.example", body=b"the fee",
                fields=[("Idempotency-Key", f"payment-{number}")])
            return len(mesh.runs.get(identifier, []))

        first = [await pay(it) for it in range(PAYMENTS)]
        if trouble:
            for machine in mesh.machines[:3]:
                machine.kill()
                machine.start()
                await mesh.all_ready(20, [machine])
                await asyncio.sleep(1)
        await asyncio.sleep(3)
        again = [await pay(it) for it in range(PAYMENTS)]
        twice = sum(1 for a, b in zip(first, again) if a and b)
        mesh.record.line("verdict", payments=PAYMENTS, twice=twice)
        print("payments that ran twice:", twice, "of", PAYMENTS)
        return 1 if twice else 0
    finally:
        mesh.stop()


main(HERE, play)
