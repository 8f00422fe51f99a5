"""Makes three calls fail on a mesh of stand-ins and explains each from the logs:
one refused under overload, one lost at hanging targets, one routed by a version
that has just come into force. Prints the commands with their output."""

import json
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

from mesh import Mesh, ROOT, fetch, wait_until

DATA_CENTRES = ["mobile", "savannah", "macon"]
CONFIGURATION = "badges"
WORK_MS = 50
SLOTS = 2
FLOOD_PER_SECOND = 600
FLOOD_SECONDS = 6
MOST_TRIES = 400


def call(node, method, path, request_id):
    """Sends one call with the given client request id; returns its status."""
    request = urllib.request.Request(f"http://{node.address('calls')}{path}", method=method,
                                     headers={"X-Request-Id": request_id})
    try:
        with urllib.request.urlopen(request, timeout=20) as answer:
            return answer.status
    except urllib.error.HTTPError as error:
        return error.code


def routed(node, path):
    try:
        return fetch(node.address("calls"), path)[0] == 200
    except OSError:
        return False


def start(mesh):
    mesh.start_platform()
    nodes = mesh.add_nodes(1, DATA_CENTRES)
    for node in nodes:
        mesh.start_node(node)
    mesh.wait_ready()
    for node in nodes:
        service = "payment" if node is nodes[-1] else "lookup"
        mesh.start_target(f"target-{node.name}", f"{CONFIGURATION}/{service}", node,
                          "--slots", SLOTS, "--connections", 20, "--work-ms", WORK_MS)
    return nodes


def publish(mesh, content, *more):
    file = mesh.folder / "content.json"
    file.write_text(json.dumps(content))
    return mesh.command("publish", file, "--configuration", CONFIGURATION, *more)["version"]


def hold(mesh, version):
    wait_until(lambda: len(mesh.holding(CONFIGURATION, version)) == len(mesh.nodes),
               f"every node holds version {version}")


def fail_once(node, method, path, name, statuses):
    """Calls until one fails as expected; returns its request id."""
    for n in range(MOST_TRIES):
        request_id = f"{name}-{n}"
        if call(node, method, path, request_id) in statuses:
            return request_id
    raise RuntimeError(f"{name}: no call of {MOST_TRIES} failed")


def in_flood(mesh, node):
    load = mesh.spawn([mesh.build / "stand-ins", "load", "--nodes", node.address("calls"),
                       "--rate", FLOOD_PER_SECOND, "--seconds", FLOOD_SECONDS, "--seed", 7,
                       "--mix", "standard:GET /lookup/badge:1"], "load")
    mesh.others.append(load)
    time.sleep(1)
    found = fail_once(node, "GET", "/lookup/badge", "flood", {503})
    load.wait(FLOOD_SECONDS + 30)
    return found


def at_grey_targets(mesh, node):
    """Targets hang while their leases are valid: the call fails at both."""
    hanging = [it for it in mesh.targets if it.service.endswith("/lookup")]
    for it in hanging:
        it.process.send_signal(signal.SIGSTOP)
    try:
        return fail_once(node, "GET", "/lookup/badge", "grey", {502, 504})
    finally:
        for it in hanging:
            it.process.send_signal(signal.SIGCONT)


def after_change(mesh, node):
    """The version in force no longer has the route that the client calls."""
    with_history = json.loads((ROOT / "Meta/examples/badges-2.json").read_text())
    hold(mesh, publish(mesh, with_history))
    wait_until(lambda: routed(node, "/history"), "the new route is there")
    without = json.loads((ROOT / "Meta/examples/badges-1.json").read_text())
    publish(mesh, without, "--accept-impact", "history has moved")
    return fail_once(node, "GET", "/history", "changed", {404})


def explain(mesh, request_id):
    """Prints the command and its output."""
    logs = [f"{it.name}.log" for it in mesh.nodes]
    time.sleep(0.2)  # Log lines are buffered for at most one period of the nodes' timer.
    print(f"$ radishcross explain {request_id} {' '.join(logs)}", flush=True)
    done = subprocess.run([mesh.build / "radishcross", "explain", request_id, *logs],
                          cwd=mesh.folder, timeout=60)
    print(flush=True)
    return done.returncode


def main():
    with Mesh() as mesh:
        nodes = start(mesh)
        first = json.loads((ROOT / "Meta/examples/badges-1.json").read_text())
        hold(mesh, publish(mesh, first))
        node = nodes[0]
        wait_until(lambda: routed(node, "/lookup/badge"), "calls are routed")
        ids = [in_flood(mesh, node)]
        wait_until(lambda: routed(node, "/lookup/badge"), "the flood is over")
        ids.append(at_grey_targets(mesh, node))
        wait_until(lambda: routed(node, "/lookup/badge"), "targets are back")
        ids.append(after_change(mesh, node))
        codes = [explain(mesh, it) for it in ids]
    return 0 if codes == [0, 0, 0] else 1


if __name__ == "__main__":
    sys.exit(main())
