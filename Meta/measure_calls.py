"""Measures calls as callers see them: outcomes by rank, overload, faults and the
latency that the mesh adds to a call."""

import json
import subprocess
import threading
import time

from mesh import Mesh, ROOT, fetch, processor_seconds, resident_megabytes, wait_until

DATA_CENTRES = ["mobile", "savannah", "macon"]
CONFIGURATION = "desk"
SLOTS = 9
CONNECTIONS = 120
WORK_MS = 30
TARGETS = 3
CAPACITY = TARGETS * SLOTS * 1000 // WORK_MS
SECONDS = 10
SEED = 5

PAYMENT = "critical:POST /payment"
LOOKUP = "standard:GET /lookup"
HISTORY = "background:GET /history"
DOCUMENT = {
    "services": [{"name": "desk"}],
    "routes": [
        {"name": "payment", "match": {"methods": ["POST"], "path_prefix": "/payment"},
         "service": "desk", "rank": "critical", "deadline_ms": 2000, "idempotent": False},
        {"name": "lookup", "match": {"path_prefix": "/lookup"},
         "service": "desk", "rank": "standard", "deadline_ms": 2000, "idempotent": True},
        {"name": "history", "match": {"path_prefix": "/history"},
         "service": "desk", "rank": "background", "deadline_ms": 2000, "idempotent": True},
    ],
}
MUST_BE_ZERO = ["run_twice", "told_not_run_but_run", "cut", "short", "crossed"]


class Calls:
    """A mesh of the deployment's size on which one case runs."""

    def __init__(self, mesh, *target_options, work_ms=WORK_MS, per_data_centre=1, slots=SLOTS,
                 data_centres=DATA_CENTRES, forward=False):
        self.mesh = mesh
        mesh.start_platform()
        for node in mesh.add_nodes(per_data_centre, data_centres):
            mesh.start_node(node)
        mesh.wait_ready()
        for node in mesh.nodes:
            onward = ["--forward", node.address("calls")] if forward else []
            mesh.start_target(f"target-{node.name}", f"{CONFIGURATION}/desk", node, "--slots", slots,
                              "--connections", CONNECTIONS, "--work-ms", work_ms, *target_options, *onward)
        self.version = self.publish(DOCUMENT)
        wait_until(lambda: len(mesh.holding(CONFIGURATION, self.version)) == len(mesh.nodes), "every node holds the version")
        for node in mesh.nodes:
            wait_until(lambda: self.routed(node), f"{node.name} routes")

    def routed(self, node):
        try:
            return fetch(node.address("calls"), "/lookup")[0] == 200
        except OSError:
            return False

    def publish(self, document):
        path = self.mesh.folder / "desk.json"
        path.write_text(json.dumps(document))
        return self.mesh.command("publish", path, "--configuration", CONFIGURATION)["version"]

    def start(self, mix, rate, *options, seconds=SECONDS, addresses=None):
        """Starts open-loop callers with the shares of a mix. Each run has its own
        seed: request ids are made from it, and targets count runs by them."""
        nodes = addresses or [it.address("calls") for it in self.mesh.nodes]
        process = self.mesh.spawn(
            [self.mesh.build / "stand-ins", "load", "--nodes", ",".join(nodes),
             "--targets", ",".join(it.address for it in self.mesh.targets),
             "--rate", rate, "--seconds", seconds, "--seed", SEED + len(self.mesh.others), "--mix", mix, *options],
            f"load-{len(self.mesh.others)}", stdout=subprocess.PIPE)
        self.mesh.others.append(process)
        return process

    def report(self, process):
        output, _ = process.communicate(timeout=180)
        return json.loads(output.decode().strip().splitlines()[-1])

    def run(self, mix, rate, *options, **more):
        return self.report(self.start(mix, rate, *options, **more))


def mixed(payment, lookup, history):
    """Returns the mix and the total rate for the calls per second of each rank."""
    shares = [(PAYMENT, payment), (LOOKUP, lookup), (HISTORY, history)]
    return ",".join(f"{name}:{rate}" for name, rate in shares if rate), payment + lookup + history


def row(case, report, **extra):
    out = {"case": case}
    out.update({key: value for key, value in report.items() if key not in ("case",)})
    out["must_be_zero"] = sum(report.get(key, 0) for key in MUST_BE_ZERO)
    out.update(extra)
    return out


def quiet(mesh):
    calls = Calls(mesh)
    report = calls.run(*mixed(60, 120, 60))
    direct = calls.run(*mixed(60, 120, 60), addresses=[it.address for it in mesh.targets])
    return row("quiet", report, direct=direct["ranks"])


def flood(case, mix, rate, floor_ranks):
    def run(mesh):
        calls = Calls(mesh)
        base = calls.run(*mixed(60, 120, 60))
        report = calls.run(mix, rate)
        ratio = {rank: round(report["ranks"][rank]["p99_ms"] / max(0.1, base["ranks"][rank]["p99_ms"]), 2)
                 for rank in report["ranks"] if rank in base["ranks"]}
        kept = {rank: round(report["ranks"][rank]["answered"] / max(1, report["ranks"][rank]["offered"]), 3)
                for rank in report["ranks"]}
        goodput = report["answered"] / SECONDS
        return row(case, report, p99_ratio_to_quiet=ratio, answered_share=kept,
                   goodput_per_s=round(goodput), capacity_per_s=CAPACITY)
    return run


def version_storm(mesh):
    """A thousand changes of routes and limits under steady load."""
    calls = Calls(mesh, work_ms=3)
    load = calls.start(*mixed(500, 1000, 500), seconds=25)
    changes, node = 0, mesh.nodes[0].address("administration")
    deadline = time.monotonic() + 22
    base = calls.version
    while time.monotonic() < deadline and changes < 1000:
        document = json.loads(json.dumps(DOCUMENT))
        document["routes"][1]["deadline_ms"] = 1500 + changes % 500
        document["services"][0]["limits"] = {"queue_length": 64 + changes % 8}
        status, answer = fetch(node, f"/v1/configurations/{CONFIGURATION}/versions", token=mesh.token,
                               method="POST", body={"base": base, "content": document})
        if status != 200:
            raise RuntimeError(f"change refused: {status} {answer}")
        base, changes = answer["version"], changes + 1
    return row("version-storm", calls.report(load), changes=changes)


def drain(mesh):
    """All nodes but one are drained and restarted in turn under steady load."""
    calls = Calls(mesh, work_ms=10)
    load = calls.start(*mixed(60, 120, 60), seconds=20)
    time.sleep(1)
    for node, target in list(zip(mesh.nodes, mesh.targets))[1:]:
        mesh.end(target.process)
        mesh.end(node.process)
        mesh.start_node(node)
        mesh.wait_ready([node])
        mesh.restart_target(target)
        time.sleep(1)
    return row("drain-under-load", calls.report(load))


def silent(mesh):
    """Open connections of a node to its target stop answering; new ones work."""
    calls = Calls(mesh, work_ms=5)
    load = calls.start(*mixed(60, 120, 60), seconds=15)
    time.sleep(3)
    for it in mesh.targets:
        fetch(it.address, "/control", method="POST", body={"silent": 1000})
    return row("silent-connections", calls.report(load))


def lying(mesh):
    """A target always reports zero load."""
    calls = Calls(mesh, "--load-lie", 0)
    return row("lying-load-reports", calls.run(*mixed(100, 300, 100)))


def cold(mesh):
    """All targets start cold at the same time."""
    calls = Calls(mesh, "--cold-calls", 200)
    return row("cold-herd", calls.run(*mixed(100, 200, 100)))


def chain(mesh):
    """Call chains of depth 8, beside single calls, at 20 times a node's share of
    the required rate. The mesh's overhead is the latency minus the work."""
    calls = Calls(mesh, work_ms=2, forward=True)
    single = calls.run(f"{LOOKUP}:1", 40)
    deep = calls.run(f"{LOOKUP}:1", 40, "--chain", 7)
    return row("chain-8-deep", deep, single_p50_ms=single["p50_ms"], single_p99_ms=single["p99_ms"])


def single_node(mesh):
    """Small calls through one node to its own target; measures processor time per
    call."""
    calls = Calls(mesh, work_ms=0, slots=64, data_centres=DATA_CENTRES[:1])
    node = mesh.nodes[0]
    before = processor_seconds(node.process)
    report = calls.run(f"{LOOKUP}:1", 6000)
    used = processor_seconds(node.process) - before
    per_call = 1e6 * used / max(1, report["answered"])
    return row("single-node", report, processor_us_per_call=round(per_call, 1),
               calls_per_core_second=round(1e6 / per_call), resident_mb=round(resident_megabytes(node.process), 1))


def cancels(mesh):
    calls = Calls(mesh)
    return row("caller-cancels", calls.run(*mixed(60, 120, 60), "--cancel-share", 0.2))


def crash(mesh):
    """A request crashes each target that runs it, and is resent."""
    calls = Calls(mesh, "--allow-crash", work_ms=5, per_data_centre=2)
    stop = threading.Event()

    def keep_alive():
        while not stop.is_set():
            for it in mesh.targets:
                if it.process.poll() is not None:
                    mesh.restart_target(it)
            time.sleep(0.2)

    keeper = threading.Thread(target=keep_alive)
    keeper.start()
    try:
        report = calls.run(*mixed(60, 120, 60), "--crash-every", 300, "--resend", 5, seconds=15)
    finally:
        # Otherwise the keeper would restart targets after the mesh has stopped.
        stop.set()
        keeper.join()
    _, entries = fetch(mesh.nodes[0].address("administration"), "/v1/quarantine", token=mesh.token)
    return row("crash-request-resent", report, quarantined=entries)


CASES = {
    "quiet": quiet,
    "chain": chain,
    "single-node": single_node,
    "history-flood": flood("history-flood", *mixed(100, 200, 10 * CAPACITY), ["background"]),
    "payment-flood": flood("payment-flood", *mixed(10 * CAPACITY, 200, 100), ["standard", "background"]),
    "crash": crash,
    "silent": silent,
    "drain": drain,
    "version-storm": version_storm,
    "lying": lying,
    "cold": cold,
    "cancels": cancels,
}


def measure(cases):
    """Yields one row per case, each on its own mesh."""
    for name in cases or CASES:
        with Mesh() as mesh:
            yield CASES[name](mesh)
