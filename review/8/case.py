"""A request crashes each backend that runs it and comes again every few seconds. Between
its retries the machines of the system are stopped and started in turn, three times."""

import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
from mesh import *  # noqa: E402,F403

STABLE_S = 3.0  # Bound `stableWindow`.
GRACE_S = 6.0  # Bound `grace`.
ROLLS = 3
GAP_S = 2.0  # Between the stops of two machines.
AT_ONCE = 2  # Machines that are away at once, as many as the site tolerates.
DOWN_S = 3.0  # A backend that crashed is back after this time.
ALLOWED = 3
RETRY_S = 3.5  # Between two retries of the crashing request.
RETRIES = 2  # In each calm time.
PATH = "/look/crash"


class Case:
    def __init__(self, mesh):
        self.mesh = mesh
        self.crashes = []  # Times.
        self.arrivals = []  # Time, id, machine that sent it to the backend.
        self.senders = {}  # Id: machine that took it from the requester.
        self.touched = {it.name: now() for it in mesh.machines}  # Last disturbance.
        self.others_lost = 0
        self.done = False
        self.away = set()  # Requesters send nothing to these.

    def in_touch(self, name, at):
        return at - self.touched[name] > STABLE_S

    async def behave(self, backend, request, writer, reader):
        if not request.first.split(" ")[1].startswith(PATH):
            return None
        at, identifier = now(), request.get(PREFIX + "Request-Id")
        backend.note_run(request)
        sender = self.senders.get(identifier, "")
        counts = (len(self.crashes) >= 3 and at > self.crashes[2] + STABLE_S
                  and self.in_touch(sender, at) and self.in_touch(backend.machine.name, at))
        self.arrivals.append((at, identifier, counts))
        await asyncio.sleep(0.03)
        self.crashes.append(now())
        self.others_lost += backend.running - 1
        self.mesh.record.line("crash", backend=backend.machine.name, id=identifier,
                              number=len(self.crashes), counted=counts)
        asyncio.create_task(self.crash(backend))
        return False

    async def crash(self, backend):
        backend.stop()
        await asyncio.sleep(DOWN_S)
        backend.id = f"i-{secrets.token_hex(4)}"
        backend.born, backend.sequence, backend.running = int(time.time() * 1000), 0, 0
        backend.free, backend.waiting = asyncio.Semaphore(backend.slots), 0
        await backend.start()

    async def send_crash(self, machines, count):
        """The request comes at machines of one caller, with the same method, path and body."""
        for _ in range(count):
            machine = random.choice(machines)
            identifier, data = request_bytes(
                "POST", PATH, "shop.example", body=b"the same", close=True)
            self.senders[identifier] = machine.name
            self.mesh.record.line("sent", id=identifier, machine=machine.name,
                                  line=f"POST {PATH}")
            answer = await exchange(machine.outbound, data, 1.5)
            self.mesh.record.line("crashing request", id=identifier, machine=machine.name,
                                  status=answer.status if answer else "none")
            await asyncio.sleep(RETRY_S)

    async def traffic(self):
        tasks = set()
        while not self.done:
            machine = random.choice(self.mesh.machines)
            if machine not in self.away:
                task = asyncio.create_task(Client(self.mesh, machine).call(
                    "POST", "/look/" + secrets.token_hex(4), "shop.example", body=b"x"))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)

    async def restart(self, machine):
        self.away.add(machine)
        machine.signal(signal.SIGTERM)
        until = now() + GRACE_S
        while machine.process.poll() is None:
            self.touched[machine.name] = now()
            if now() > until:
                machine.kill()
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.2)
        machine.start()
        self.touched[machine.name] = now()
        await self.mesh.all_ready(15, [machine])
        self.away.discard(machine)

    async def roll(self):
        """One machine after the other, as `roll_term` does."""
        tasks = []
        for machine in self.mesh.machines:
            while len(self.away) >= AT_ONCE:
                await asyncio.sleep(0.05)
            tasks.append(asyncio.create_task(self.restart(machine)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*tasks)


async def play(trouble):
    mesh = Mesh(HERE, ["look", "desk"] * 3)
    try:
        mesh.configure(3, [route("look", "shop.example", "/look/", "look", kind="unsafe")],
                       ["look", "desk"])
        await mesh.start()
        case = Case(mesh)
        for it in mesh.backends:
            it.behave, it.work = case.behave, 0.1
        if not await mesh.all_ready():
            return 2
        await asyncio.sleep(STABLE_S + 1)
        callers = [it for it in mesh.machines if it.service == "desk"]
        others = asyncio.create_task(case.traffic())
        await case.send_crash(callers, RETRIES)
        for _ in range(ROLLS):
            if trouble:
                mesh.record.line("roll")
                await case.roll()
            await asyncio.sleep(STABLE_S + 1)
            await case.send_crash(callers, RETRIES)
        case.done = True
        await others
        late = sum(1 for it in case.arrivals if it[2])
        mesh.record.line("verdict", crashes=len(case.crashes), late=late, allowed=ALLOWED,
                         others_lost=case.others_lost)
        print("crashes:", len(case.crashes), "late retries that reached a backend:", late,
              "other requests lost:", case.others_lost)
        return 1 if late > ALLOWED else 0
    finally:
        mesh.stop()


main(HERE, play)
