"""A small deployment on loopback addresses: the project's daemons as processes,
with settings like those of platform/settings, and clients with open flows.

A case's run.py calls begin() first, with its own folder.
"""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

import wire

STANDINS = os.path.dirname(os.path.abspath(__file__))
DAEMON = os.path.join(os.path.dirname(os.path.dirname(STANDINS)), "target", "bin", "crowlinkd")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S = 4.0
PLACES = ["brest", "lorient", "saint-malo"]
CORE = ["127.20.1.1", "127.20.1.2", "127.20.1.3"]
BALANCER = "127.20.2.1"
AGENTS = ["127.20.3.1", "127.20.3.2"]
CLIENT = "127.20.5.1"
ROUTE, ROUTE_PORT = "198.18.0.1", 8080

record = None
began = time.monotonic()
lock = threading.Lock()
children = []


def begin(folder):
    global record
    record = open(os.path.join(folder, "record.txt"), "w", buffering=1, encoding="utf-8")
    signal.signal(signal.SIGTERM, lambda *_: finish(2, "ended from outside"))


def run(case):
    try:
        if not os.access(DAEMON, os.X_OK):
            finish(2, "the daemon is not built")
        case()
    except Exception as failure:  # noqa: BLE001
        finish(2, f"the case could not run: {failure!r}")


def note(**fields):
    with lock:
        record.write(json.dumps({"t": round(time.monotonic() - began, 3), **fields}) + "\n")


def finish(status, why):
    note(exit=status, why=why)
    for child in children:
        if child.poll() is None:
            child.kill()
            child.wait()
    print(f"{status}: {why}", flush=True)
    os._exit(status)


def free_ports(count):
    """Port numbers that are free for TCP and UDP on all loopback addresses."""
    taken = set()
    for table in ("tcp", "udp"):
        with open(f"/proc/net/{table}", encoding="ascii") as lines:
            for line in list(lines)[1:]:
                taken.add(int(line.split()[1].split(":")[1], 16))
    first = 15000 + os.getpid() % 9000
    found = [port for port in range(first, first + 2000) if port not in taken]
    return found[:count]


# A node asks others from the port below NODE.
PEER, _, NODE, CONTROL, READY, DATAGRAM, OUTBOUND, APP, H1, H2, H3 = free_ports(11)
work = tempfile.TemporaryDirectory()
# Set by a case whose links to control hosts pass proxies: (client, port) yields
# the control hosts with the addresses at which that client reaches them.
reached_by = None


def common(address, place):
    settings = {
        "host": {"name": address, "place": place, "region": "bretagne"},
        "log": {"format": "key_value", "level": "info"},
        "trusted_network": True,
        "lease_ms": 1800,
    }
    if reached_by:
        if address not in CORE:
            settings["control_endpoints"] = reached_by(address, NODE)
        return settings
    settings["seeds"] = {
        "hosts": [f"{each}:{CONTROL}" for each in CORE],
        "peer_port": PEER,
        "node_port": NODE,
    }
    return settings


def start_daemon(name, settings):
    file = os.path.join(work.name, name + ".jsonc")
    with open(file, "w", encoding="utf-8") as out:
        json.dump(settings, out)
    log = open(os.path.join(work.name, name + ".log"), "a", encoding="utf-8")
    child = subprocess.Popen([DAEMON, file], stdout=log, stderr=log)
    children.append(child)
    return child


def start_control(index, address):
    settings = common(address, PLACES[index])
    settings["data_centres"] = [{"name": each, "region": "bretagne"} for each in PLACES]
    settings["pacing_bytes_per_second"] = 65536
    settings["health"] = f"{address}:{H2}"
    settings["control"] = {
        "data_folder": os.path.join(work.name, f"data-{index}"),
        "peer_listen": f"{address}:{PEER}",
        "node_listen": f"{address}:{NODE}",
        "may_found": True,
        "election_ms": 300,
        "losses_borne": 1,
        "platform_listen": f"{address}:{CONTROL}",
    }
    if reached_by:
        settings["control"]["peers"] = reached_by(address, PEER)
    return start_daemon(f"control-{index}", settings)


def start_balancer():
    settings = common(BALANCER, PLACES[0])
    settings["log"]["decisions_per_second"] = 20
    settings["reach_listen"] = f"{BALANCER}:{NODE}"
    settings["balancer"] = {
        "mode": "flow_packets",
        "listen": [f"{BALANCER}:{DATAGRAM}"],
        "tunnel": f"{BALANCER}:{PEER}",
    }
    settings["health"] = f"{BALANCER}:{H1}"
    settings["platform_ready"] = f"{BALANCER}:{READY}"
    return start_daemon("balancer", settings)


def start_agent(index, service):
    address = AGENTS[index]
    settings = common(address, PLACES[index])
    settings["log"]["decisions_per_second"] = 200
    settings["reach_listen"] = f"{address}:{NODE}"
    settings["agents"] = [
        {
            "delivery": "flow_packets",
            "service_name": service,
            "upstream_address": f"{address}:{APP}",
            "tunnel": f"{address}:{DATAGRAM}",
            "drain_seconds": 0,
            "flow_packets": {
                "outbound": f"{address}:{OUTBOUND}",
                "announcements": f"{address}:{CONTROL}",
                "health_path": "/health",
            },
        }
    ]
    settings["health"] = f"{address}:{H3}"
    settings["platform_ready"] = f"{address}:{READY}"
    return start_daemon(f"agent-{index}", settings)


def start_target(index, name, service, control):
    lines = os.path.join(work.name, f"{name}.txt")
    address = AGENTS[index]
    child = subprocess.Popen(
        [
            sys.executable,
            os.path.join(STANDINS, "target.py"),
            f"{address}:{APP}",
            f"{address}:{OUTBOUND}",
            control,
            service,
            name,
            PLACES[index],
            lines,
        ]
    )
    children.append(child)
    note(target_starts=name, at=f"{address}:{APP}")
    return child


def target_lines(name):
    try:
        with open(os.path.join(work.name, f"{name}.txt"), encoding="utf-8") as lines:
            return [json.loads(line) for line in lines]
    except FileNotFoundError:
        return []


def configure(version, targets, services, timeout_ms=1500):
    """Sends a configuration of one route.

    It leads to one service, or to several by weight: {"name": weight}.
    """
    leads = {"service": targets}
    if isinstance(targets, dict):
        leads = {
            "backends": [
                {"service": name, "weight": weight} for name, weight in targets.items()
            ]
        }
    body = json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": "r-1",
                    "hostname": ROUTE,
                    "pathPrefix": f"/{ROUTE_PORT}/",
                    "routeType": "safe",
                    "timeoutMs": timeout_ms,
                    "aimMs": 150,
                    "priority": 2,
                    **leads,
                    "attempts": 2,
                }
            ],
            "services": [
                {
                    "name": each,
                    "healthPath": "/health",
                    "maxConnections": 2000,
                    "protocol": "h1",
                    "tls": False,
                }
                for each in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
    )
    for attempt in range(40):
        try:
            call = http.client.HTTPConnection(CORE[attempt % 3], CONTROL, timeout=1)
            call.request(
                "POST", "/api/config/replace", body, {"Content-Type": "application/json"}
            )
            status = call.getresponse().status
            call.close()
        except OSError:
            status = None
        if status == 200:
            note(config=version, leads_to=targets, services=services, acked_by=CORE[attempt % 3])
            return True
        time.sleep(0.25)
    return False


class Flow:
    def __init__(self, port):
        self.port = port
        self.first = random.getrandbits(30)
        self.next = self.first
        self.ack = 0
        self.acknowledged = None
        self.is_open = False
        self.reset_at = None
        self.target = None
        self.waits_for = None
        self.answered = 0


class Clients:
    """Flows that stay open, with a request of each now and then."""

    def __init__(self):
        self.link = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.link.bind((CLIENT, DATAGRAM))
        self.flows = {}
        self.numbers = 0
        threading.Thread(target=self.receive, daemon=True).start()

    def send(self, flow, flags, data=b"", ack=None):
        self.link.sendto(
            wire.pack(
                flags,
                flow.next,
                flow.ack if ack is None else ack,
                0,
                ROUTE,
                ROUTE_PORT,
                CLIENT,
                flow.port,
                data,
            ),
            (BALANCER, DATAGRAM),
        )

    def open(self, port):
        flow = self.flows[port] = Flow(port)
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            self.send(flow, wire.SYN, ack=copy)
            ends = time.monotonic() + wait
            while time.monotonic() < ends:
                if flow.is_open:
                    return flow
                if flow.reset_at:
                    return None
                time.sleep(0.002)
        return None

    def request(self, flow, path="/"):
        self.numbers += 1
        name = f"q{self.numbers:06d}"
        data = (
            f"GET {path} HTTP/1.1\r\nHost: {ROUTE}\r\nX-Request-Id: {name}\r\n\r\n"
        ).encode()
        flow.waits_for = name
        note(sent=name, port=flow.port)
        wait = 0.2
        while flow.waits_for and not flow.reset_at and wait < 1.7:
            if flow.acknowledged != flow.next + len(data):
                self.send(flow, wire.ACK, data)
            ends = time.monotonic() + wait
            while time.monotonic() < ends and flow.waits_for and not flow.reset_at:
                time.sleep(0.002)
            wait *= 2
        if flow.waits_for is None:
            flow.next += len(data)
        return flow.waits_for is None

    def receive(self):
        while True:
            packet = wire.Packet(self.link.recv(4096))
            flow = self.flows.get(packet.dport)
            if flow is None:
                continue
            if packet.has(wire.RST):
                if flow.reset_at is None:
                    flow.reset_at = time.monotonic()
                    by = "the system" if packet.sum == 0 else "its target"
                    note(reset=flow.port, was_open=flow.is_open, sent_by=by, target=flow.target)
                continue
            if packet.has(wire.SYN):
                if not flow.is_open:
                    flow.is_open = True
                    flow.next = flow.first + 1
                    flow.ack = packet.seq + 1
                    self.send(flow, wire.ACK)
                continue
            flow.acknowledged = packet.ack
            if packet.data and packet.seq == flow.ack:
                flow.ack += len(packet.data)
                signed = packet.data.split(b"X-Response-Signature: ")[1].split(b"\r\n")[0]
                target, name = signed.decode().split(".")
                flow.target = target
                if name == flow.waits_for:
                    flow.answered += 1
                    note(answered=name, port=flow.port, by=target)
                    flow.waits_for = None
            self.send(flow, wire.ACK)
