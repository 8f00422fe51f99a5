"""Measures how long configuration takes to reach every node, and its cost."""

import concurrent.futures
import json
import random
import signal
import statistics
import time

from mesh import Mesh, ROOT, fetch, processor_seconds, resident_megabytes, wait_until

DATA_CENTRES = [f"dc{it}" for it in range(1, 7)]
CONFIGURATION = "badges"
BOUND_SECONDS = 15
SETTLE_SECONDS = 5
QUIET_SECONDS = 10
REST_SECONDS = 60
CHANGES = 12
SEED = 11


def region_of(data_centre):
    """Two data centres share a region."""
    return f"region{(int(data_centre[2:]) + 1) // 2}"


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else None


class Spread:
    """A mesh on which the cases run in sequence."""

    def __init__(self, mesh, node_count):
        self.mesh = mesh
        self.document = json.loads((ROOT / "Meta/examples/badges-1.json").read_text())
        self.pool = concurrent.futures.ThreadPoolExecutor(16)
        self.random = random.Random(SEED)
        self.version = 0
        self.highest = {}
        self.steps_back = 0
        mesh.start_platform()
        mesh.add_nodes(max(1, node_count // len(DATA_CENTRES)), DATA_CENTRES)
        for node in mesh.nodes:
            mesh.start_node(node)
        mesh.wait_ready(seconds=120)

    def each(self, function, nodes=None):
        return list(self.pool.map(function, nodes or self.mesh.nodes))

    def status(self, node):
        try:
            return fetch(node.address("administration"), f"/v1/status?configuration={CONFIGURATION}",
                         token=self.mesh.token)[1]
        except OSError:
            return None

    def publish(self):
        """Publishes the next version; returns when the command began, in Unix ms,
        which is before the version was accepted."""
        self.document["routes"][0]["deadline_ms"] = 1000 + self.version
        path = self.mesh.folder / "next.json"
        path.write_text(json.dumps(self.document))
        started_ms = time.time() * 1000
        answer = self.mesh.command("publish", path, "--configuration", CONFIGURATION)
        self.version = answer["version"]
        return started_ms

    def since(self, node):
        """Returns when the node came to hold the newest version; counts steps back."""
        status = self.status(node)
        # A recovering node holds nothing yet and does not serve.
        if not status or not status.get("ready"):
            return None
        for held in status.get("configurations", []):
            if held["configuration"] != CONFIGURATION:
                continue
            if held["version"] < self.highest.get(node.name, 0):
                self.steps_back += 1
            self.highest[node.name] = max(self.highest.get(node.name, 0), held["version"])
            if held["version"] >= self.version:
                return held["since_unix_ms"]
        return None

    def converged(self, started_ms, nodes=None, seconds=BOUND_SECONDS):
        """Waits until every node holds the newest version; returns the delays in
        milliseconds and the names of those that do not."""
        waiting, delays = list(nodes or self.mesh.nodes), []
        deadline = time.monotonic() + seconds
        while waiting and time.monotonic() < deadline:
            found = self.each(self.since, waiting)
            delays += [max(0.0, at - started_ms) for at in found if at is not None]
            waiting = [node for node, at in zip(waiting, found) if at is None]
            if waiting:
                time.sleep(0.05)
        return delays, [it.name for it in waiting]

    def totals(self):
        """Returns the totals over all running nodes that a case compares."""
        nodes = [it for it in self.mesh.nodes if it.process.poll() is None]
        pids = [it.process.pid for it in nodes]
        _, platform = fetch(self.mesh.platform_address, "/control")
        return {
            "at": time.monotonic(),
            "bytes": dict(zip(pids, self.each(lambda it: self.mesh.metric(it, "control_bytes"), nodes))),
            "processor": {it.process.pid: processor_seconds(it.process) for it in nodes},
            "reads": platform["reads"],
            "appends": platform["appends"],
        }

    def row(self, case, before, delays, missing, **extra):
        after = self.totals()
        seconds, count = after["at"] - before["at"], len(self.mesh.nodes)

        def spent(what):
            """The counters of a process that was started since began at 0."""
            return sum(it - before[what].get(pid, 0) for pid, it in after[what].items())

        memory = [resident_megabytes(it.process) for it in self.mesh.nodes if it.process.poll() is None]
        statuses = [it for it in self.each(self.status) if it]
        hashes = {}
        for it in statuses:
            hashes.setdefault(it["offset"], set()).add(it["fold_hash"])
        return {
            "case": case,
            "nodes": count,
            "convergence_median_ms": round(statistics.median(delays)) if delays else None,
            "convergence_p99_ms": round(quantile(delays, 0.99)) if delays else None,
            "convergence_worst_ms": round(max(delays)) if delays else None,
            "missing": len(missing),
            "seconds": round(seconds, 1),
            "control_bytes_per_node_per_s": round(spent("bytes") / seconds / count),
            "processor_percent_of_core": round(100 * spent("processor") / seconds / count, 3),
            "platform_reads_per_s": round((after["reads"] - before["reads"]) / seconds, 2),
            "platform_appends_per_s": round((after["appends"] - before["appends"]) / seconds, 2),
            "resident_mb_worst": round(max(memory), 1),
            "steps_back": self.steps_back,
            "dangling_routes": sum(it.get("dangling_routes", 0) for it in statuses),
            "partial_versions": sum(it.get("partial_versions", 0) for it in statuses),
            "differing_hashes": sum(len(it) > 1 for it in hashes.values()),
            **extra,
        }

    def control(self, **switches):
        fetch(self.mesh.platform_address, "/control", method="POST", body=switches)

    def quiet(self, case):
        before = self.totals()
        time.sleep(QUIET_SECONDS)
        return self.row(case, before, [], [])

    def cold_start(self):
        """All nodes have just started and are still discovering each other."""
        return self.quiet("cold-start")

    def settled(self):
        """The mesh has been idle for a minute."""
        time.sleep(REST_SECONDS)
        return self.quiet("settled")

    def healthy(self):
        before, delays, missing = self.totals(), [], []
        for _ in range(CHANGES):
            found, late = self.converged(self.publish())
            delays += found
            missing += late
        return self.row("healthy", before, delays, missing)

    def lost_answers(self):
        before, delays, missing = self.totals(), [], []
        for _ in range(CHANGES // 3):
            self.control(lose_answers=1)
            found, late = self.converged(self.publish())
            delays += found
            missing += late
        return self.row("lost-answers", before, delays, missing)

    def platform_down(self):
        """The platform fails just after a version was accepted."""
        before = self.totals()
        started_ms = self.publish()
        self.control(outage=True)
        delays, missing = self.converged(started_ms)
        time.sleep(SETTLE_SECONDS)
        row = self.row("platform-down", before, delays, missing)
        self.control(outage=False)
        return row

    def restarted(self):
        """Two thirds of the nodes are killed and restarted while a version is
        being published."""
        before = self.totals()
        victims = self.random.sample(self.mesh.nodes[1:], 2 * len(self.mesh.nodes) // 3)
        for it in victims:
            self.mesh.end(it.process, signal.SIGKILL)
        published_ms = self.publish()
        for it in victims:
            self.mesh.start_node(it)
        started_ms = time.time() * 1000
        delays, missing = self.converged(published_ms, seconds=60)
        return self.row("two-thirds-restarted", before, delays, missing,
                        worst_after_start_ms=round(published_ms + max(delays) - started_ms) if delays else None)


CASES = ["cold_start", "healthy", "lost_answers", "platform_down", "restarted", "settled"]


def measure(sizes, cases):
    """Yields one row per case and size."""
    for size in sizes:
        with Mesh(region_of=region_of) as mesh:
            spread = Spread(mesh, size)
            spread.converged(spread.publish())
            time.sleep(SETTLE_SECONDS)
            for case in cases or CASES:
                yield getattr(spread, case)()
