"""Runs the demonstration; started by Meta/demo.sh."""

import argparse
import json
import signal
import subprocess
import sys
import time

from mesh import Mesh, ROOT, fetch, processor_seconds, wait_until

DATA_CENTRES = ["mobile", "savannah", "macon"]
CONFIGURATION = "badges"
LOAD_SECONDS = 14
CALLS_PER_SECOND = 300
CONVERGENCE_SECONDS = 15


def say(text):
    print(text, file=sys.stderr, flush=True)


def start(mesh):
    """Starts the platform, two nodes in each data centre and their targets."""
    mesh.start_platform()
    nodes = mesh.add_nodes(2, DATA_CENTRES)
    for node in nodes:
        mesh.start_node(node)
    mesh.wait_ready()
    for node in nodes:
        service = "lookup" if node.settings["labels"]["tier"] == "edge" else "payment"
        mesh.start_target(f"target-{node.name}", f"{CONFIGURATION}/{service}", node,
                          "--slots", 9, "--connections", 120, "--work-ms", 4)
    say(f"{len(nodes)} nodes in {len(DATA_CENTRES)} data centres are ready; logs in {mesh.folder}")


def publish(mesh, file):
    answer = mesh.command("publish", ROOT / "Meta" / "examples" / file, "--configuration", CONFIGURATION)
    say(f"published {file}: {json.dumps(answer)}")
    return answer["version"]


def wait_held(mesh, version, nodes):
    wait_until(lambda: len(mesh.holding(CONFIGURATION, version, nodes)) == len(nodes),
               f"every node holds version {version}", CONVERGENCE_SECONDS)


def wait_routed(mesh):
    """Waits until every node reaches both services."""

    def routed(node, method, path):
        try:
            return fetch(node.address("calls"), path, method=method)[0] == 200
        except OSError:
            return False

    for node in mesh.nodes:
        for method, path in (("GET", "/lookup/badge"), ("POST", "/payment")):
            wait_until(lambda: routed(node, method, path), f"{node.name} routes {path}")


def start_load(mesh, nodes):
    process = mesh.spawn(
        [mesh.build / "stand-ins", "load", "--nodes", ",".join(it.address("calls") for it in nodes),
         "--targets", ",".join(it.address for it in mesh.targets),
         # Callers of a draining VM are sent to another one.
         "--elsewhere", len(nodes) - 1,
         "--rate", CALLS_PER_SECOND, "--seconds", LOAD_SECONDS, "--seed", 7,
         "--mix", "critical:POST /payment:30,standard:GET /lookup/badge:70"],
        "load", stdout=subprocess.PIPE)
    mesh.others.append(process)
    return process


def control_bytes(mesh, nodes):
    return sum(mesh.metric(it, "control_bytes") for it in nodes)


def run_once(mesh):
    start(mesh)
    first = publish(mesh, "badges-1.json")
    wait_held(mesh, first, mesh.nodes)
    wait_routed(mesh)
    leaving = mesh.nodes[-1]
    stable = mesh.nodes[:-1]
    bytes_before, at = control_bytes(mesh, stable), time.monotonic()
    load = start_load(mesh, mesh.nodes)
    time.sleep(2)
    started_ms = time.time() * 1000
    second = publish(mesh, "badges-2.json")
    wait_held(mesh, second, mesh.nodes)
    converged_ms = max(mesh.holding(CONFIGURATION, second).values()) - started_ms
    time.sleep(1)
    say(f"draining {leaving.name}")
    mesh.end(leaving.process)
    drained_cleanly = leaving.process.returncode == 0
    output, _ = load.communicate(timeout=LOAD_SECONDS + 60)
    report = json.loads(output.decode().strip().splitlines()[-1])
    say(json.dumps(report))
    per_second = (control_bytes(mesh, stable) - bytes_before) / (time.monotonic() - at) / len(stable)
    held = mesh.holding(CONFIGURATION, second, stable)
    line = {
        "nodes": len(mesh.nodes),
        "data_centres": len(DATA_CENTRES),
        "converged_ms": round(max(converged_ms, 0)),
        "calls": report["offered"],
        "answered": report["answered"],
        "cut": report["cut"],
        "repeated": report["run_twice"],
        "control_bytes_per_node_per_s": round(per_second),
    }
    mesh.stop()
    print(json.dumps(line), flush=True)
    good = (line["answered"] == line["calls"] and line["cut"] == 0 and line["repeated"] == 0
            and len(held) == len(stable))
    return 0 if good and drained_cleanly else 1


def run_until_interrupted(mesh):
    start(mesh)
    version = publish(mesh, "badges-1.json")
    wait_held(mesh, version, mesh.nodes)
    wait_routed(mesh)
    node = mesh.nodes[0]
    program = f"RADISHCROSS_NODE={node.address('administration')} RADISHCROSS_TOKEN={mesh.token} {mesh.build}/radishcross"
    print(f"""The mesh is up. Try:
  curl -i http://{node.address('calls')}/lookup/badge
  curl -i -X POST http://{node.address('calls')}/payment
  {program} status {CONFIGURATION}
  {program} publish {ROOT}/Meta/examples/badges-2.json --configuration {CONFIGURATION}
  {program} members
  {program} audit
Ctrl-C drains and ends all of it.""", flush=True)
    signal.pause()


def interrupted(*unused):
    raise KeyboardInterrupt


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--once", action="store_true")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, interrupted)
    with Mesh() as mesh:
        try:
            return run_once(mesh) if options.once else run_until_interrupted(mesh)
        except KeyboardInterrupt:
            # A second interrupt must not leave processes behind.
            signal.signal(signal.SIGINT, signal.SIG_IGN)
            signal.signal(signal.SIGTERM, signal.SIG_IGN)
            for it in mesh.others:
                mesh.end(it)
                say(f"callers until the interrupt: {it.stdout.read().decode().strip()}")
            say("draining every node")
            return 130


if __name__ == "__main__":
    sys.exit(main())
