"""Starts and stops a mesh of processes on loopback: the platform stand-in, nodes
and targets. Every process is ended by its own process id."""

import hashlib
import json
import os
import secrets
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
START_SECONDS = 60
STOP_SECONDS = 45


# Below the kernel's ephemeral port range, so that no outgoing connection takes a
# port between its choice and its use.
FIRST_PORT, LAST_PORT = 12000, 32000
next_port = FIRST_PORT + secrets.randbelow(LAST_PORT - FIRST_PORT)


def free_ports(count):
    """Returns distinct ports that are free for TCP and UDP."""
    global next_port
    ports = []
    while len(ports) < count:
        next_port = next_port + 1 if next_port < LAST_PORT else FIRST_PORT
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, \
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, next_port))
                udp.bind((HOST, next_port))
            except OSError:
                continue
        ports.append(next_port)
    return ports


def fetch(address, path, token=None, method="GET", body=None, timeout=5.0):
    """Sends one HTTP request; returns the status and the decoded answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            status, text = answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read().decode()
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text


@dataclass
class Node:
    """One node: its settings, process and addresses."""

    name: str
    data_centre: str
    settings: dict
    process: subprocess.Popen = None

    def address(self, listener):
        return self.settings["listen"][listener]


@dataclass
class Target:
    """One target behind a node."""

    name: str
    service: str
    node: Node
    address: str
    options: list = field(default_factory=list)
    process: subprocess.Popen = None


class Mesh:
    """The processes of one run. Use it as a context manager."""

    def __init__(self, build="release", region_of=lambda data_centre: "south"):
        self.build = Path(os.environ.get("RADISHCROSS_BUILD", ROOT / "Build" / build)).resolve()
        self.folder = Path(tempfile.mkdtemp(prefix="radishcross-"))
        self.token = secrets.token_hex(16)
        self.mesh_key = secrets.token_hex(16)
        self.region_of = region_of
        self.platform_address = None
        self.platform = None
        self.nodes, self.targets, self.others = [], [], []

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.stop()

    def spawn(self, arguments, name, stdout=None):
        """Starts one process; its standard error goes to NAME.log."""
        log = open(self.folder / f"{name}.log", "ab")
        return subprocess.Popen(
            [str(it) for it in arguments],
            stdout=stdout or log,
            stderr=log,
            start_new_session=True,
        )

    def start_platform(self, *options):
        if self.platform_address is None:
            self.platform_address = f"{HOST}:{free_ports(1)[0]}"
        self.platform = self.spawn(
            [self.build / "stand-ins", "platform", "--listen", self.platform_address, *options],
            "platform",
        )
        wait_until(lambda: answers(self.platform_address, "/control"), "the platform answers")

    def add_nodes(self, per_data_centre, data_centres, **extra):
        """Prepares the settings of nodes without starting them."""
        listeners = ["calls", "mesh", "gossip", "peer", "targets", "administration"]
        count = per_data_centre * len(data_centres)
        ports = iter(free_ports(count * len(listeners)))
        added = []
        for data_centre in data_centres:
            for index in range(per_data_centre):
                name = f"{data_centre}-n{len(self.nodes) + len(added) + 1:03d}"
                listen = {it: f"{HOST}:{next(ports)}" for it in listeners}
                settings = {
                    "node": name,
                    "data_centre": data_centre,
                    "region": self.region_of(data_centre),
                    "labels": {"tier": "edge" if index == 0 else "inner"},
                    "listen": listen,
                    "platform": {"addresses": [self.platform_address]},
                    "mesh_keys": [self.mesh_key],
                    "tokens": [
                        {
                            "name": "operator",
                            "sha256": hashlib.sha256(self.token.encode()).hexdigest(),
                            "team": "permits",
                            "role": "administrator",
                        }
                    ],
                    "log": {"level": "info", "format": "json"},
                    **extra,
                }
                added.append(Node(name, data_centre, settings))
        self.nodes += added
        # The first node of each data centre is a seed for all.
        seeds = [
            next(it for it in self.nodes if it.data_centre == data_centre).address("gossip")
            for data_centre in dict.fromkeys(it.data_centre for it in self.nodes)
        ]
        for it in self.nodes:
            it.settings["seeds"] = [seed for seed in seeds if seed != it.address("gossip")]
        return added

    def start_node(self, node):
        path = self.folder / f"{node.name}.json"
        path.write_text(json.dumps(node.settings, indent=2))
        node.process = self.spawn([self.build / "radishcross", "node", "--settings", path], node.name)

    def start_target(self, name, service, node, *options):
        target = Target(name, service, node, f"{HOST}:{free_ports(1)[0]}", list(options))
        self.targets.append(target)
        self.restart_target(target)
        return target

    def restart_target(self, target):
        target.process = self.spawn(
            [
                self.build / "stand-ins", "target", "--listen", target.address,
                "--node", target.node.address("targets"), "--service", target.service,
                *target.options,
            ],
            target.name,
        )

    def wait_ready(self, nodes=None, seconds=START_SECONDS):
        for node in nodes or self.nodes:
            address = node.address("administration")
            wait_until(lambda: answers(address, "/readyz"), f"{node.name} is ready", seconds)

    def command(self, *arguments, node=None, check=True):
        """Runs an operator command against a node; returns its JSON answer."""
        node = node or next(it for it in self.nodes if it.process)
        done = subprocess.run(
            [
                str(self.build / "radishcross"), *map(str, arguments), "--json",
                "--node", node.address("administration"), "--token", self.token,
            ],
            capture_output=True, text=True, timeout=60,
        )
        if check and done.returncode != 0:
            raise RuntimeError(f"{arguments[0]} ended with {done.returncode}: {done.stdout} {done.stderr}")
        return json.loads(done.stdout) if done.stdout.strip() else {}

    def holding(self, configuration, version, nodes=None):
        """Returns when each node came to hold the version, in Unix milliseconds."""
        since = {}
        for node in nodes or self.nodes:
            try:
                _, status = fetch(node.address("administration"), f"/v1/status?configuration={configuration}",
                                  token=self.token)
            except OSError:
                continue
            for held in status.get("configurations", []):
                if held["configuration"] == configuration and held["version"] >= version:
                    since[node.name] = held["since_unix_ms"]
        return since

    def metric(self, node, name):
        """Returns the sum of the samples of one metric."""
        _, text = fetch(node.address("administration"), "/metrics")
        rows = [it.rsplit(" ", 1) for it in str(text).splitlines()]
        return sum(float(it[1]) for it in rows if it[0] == name or it[0].startswith(name + "{"))

    def end(self, process, how=signal.SIGTERM):
        """Ends one process of this run and waits for it."""
        if process is None or process.poll() is not None:
            return
        process.send_signal(how)
        try:
            process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def stop(self):
        """Ends every process of this run, the load generators first."""
        groups = [self.others, [it.process for it in self.nodes],
                  [it.process for it in self.targets], [self.platform]]
        for group in groups:
            running = [it for it in group if it and it.poll() is None]
            for it in running:
                it.send_signal(signal.SIGTERM)
            for it in running:
                self.end(it)


def answers(address, path):
    try:
        return fetch(address, path, timeout=1.0)[0] == 200
    except OSError:
        return False


def wait_until(condition, what, seconds=START_SECONDS):
    """Polls until the condition holds; raises an error naming it on timeout."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError(f"waited {seconds} s in vain: {what}")


def processor_seconds(process):
    """Returns the processor time that a process has used, from /proc."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_megabytes(process):
    """Returns the resident memory of a process, from /proc."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0
