#!/usr/bin/env python3
"""Writes the settings files of the two example deployments, one a host.

The public keys are stand-ins derived from the hosts' names: nobody holds their
secret keys. Replace them by what `crowlink keys show` prints on each host.
Run it after a change and commit what it writes.
"""

import hashlib
import json
import pathlib
import shutil

Z85 = (
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
    ".-:+=^!/*?&<>()[]{}@%$#"
)
PEER_PORT = 7001
NODE_PORT = 7002
HTTP_PORT = 7080
HEALTH_PORT = 7081
LISTEN_PORT = 5555
TUNNEL_PORT = 5556
GATEWAY_PORT = 5555
UPSTREAM_PORT = 5557

DEPLOYMENTS = {
    "foundation": {
        "region": "ncr",
        "places": ["quezon", "pasig", "makati"],
        "network": "192.0.2",
        "services": [(1, "hiraman", 7), (2, "katalogo", 3)],
    },
    "radeau": {
        "region": "bretagne",
        "places": ["brest", "lorient", "saint-malo"],
        "network": "198.51.100",
        "services": [(1, "registre", 7), (2, "bibliotheque", 3)],
    },
}


def public_key(deployment, host):
    """32 bytes of a hash in Z85, ZeroMQ's text form of a key (RFC 32)."""
    raw = hashlib.sha256(f"{deployment}/{host}".encode()).digest()
    text = ""
    for at in range(0, len(raw), 4):
        value = int.from_bytes(raw[at : at + 4], "big")
        text += "".join(Z85[value // 85**power % 85] for power in range(4, -1, -1))
    return text


class Deployment:
    def __init__(self, name, plan):
        self.name = name
        self.plan = plan
        self.next_address = 10
        self.grants = []
        self.files = {}
        self.control = [
            {"host": f"control-{place}", "place": place, "address": self.address()}
            for place in plan["places"]
        ]

    def address(self):
        self.next_address += 1
        return f"{self.plan['network']}.{self.next_address}"

    def key(self, host):
        return public_key(self.name, host)

    def common(self, host, place):
        return {
            "host": {"name": host, "place": place, "region": self.plan["region"]},
            "log": {"format": "json", "level": "info"},
            "keys": {"own": f"keys/{host}.key"},
        }

    def peers(self, port):
        return [
            {
                "host": each["host"],
                "place": each["place"],
                "region": self.plan["region"],
                "address": f"{each['address']}:{port}",
                "public_key": self.key(each["host"]),
            }
            for each in self.control
        ]

    def grant(self, host, roles, services=None):
        entry = {"public_key": self.key(host), "holder": host, "roles": roles}
        if services:
            entry["services"] = services
        self.grants.append(entry)

    def add_control(self):
        for each in self.control:
            host = each["host"]
            settings = self.common(host, each["place"])
            settings["keys"]["allowed"] = "allowed-keys.jsonc"
            settings["control"] = {
                "data_folder": "/var/lib/crowlink",
                "peer_listen": f"{each['address']}:{PEER_PORT}",
                "node_listen": f"{each['address']}:{NODE_PORT}",
                "peers": self.peers(PEER_PORT),
                "http": f"{each['address']}:{HTTP_PORT}",
                "tokens_file": "operators.jsonc",
                "tls": {
                    "certificate": f"tls/{host}.crt",
                    "key": f"tls/{host}.key",
                },
            }
            self.files[host] = settings
            self.grant(host, ["control"])

    def node(self, host, place):
        settings = self.common(host, place)
        settings["keys"]["packet"] = ["keys/packet.key"]
        settings["control_endpoints"] = self.peers(NODE_PORT)
        settings["health"] = f"127.0.0.1:{HEALTH_PORT}"
        return settings

    def add_balancers(self):
        for place in self.plan["places"]:
            host = f"entry-{place}"
            address = self.address()
            settings = self.node(host, place)
            settings["balancer"] = {
                "mode": "ip_in_udp",
                "listen": [f"{address}:{LISTEN_PORT}"],
                "tunnel": f"{address}:{TUNNEL_PORT}",
                "gateway": f"{self.plan['network']}.1:{GATEWAY_PORT}",
                "threads": 2,
            }
            self.files[host] = settings
            self.grant(host, ["balancer"])

    def add_agents(self):
        places = self.plan["places"]
        for number, service, count in self.plan["services"]:
            for at in range(count):
                host = f"{service}-{at + 1}"
                address = self.address()
                settings = self.node(host, places[at % len(places)])
                settings["agents"] = [
                    {
                        "upstream": host,
                        "service": number,
                        "upstream_address": f"127.0.0.1:{UPSTREAM_PORT}",
                        "delivery": "datagram",
                        "tunnel": f"{address}:{TUNNEL_PORT}",
                        "drain_seconds": 600,
                    }
                ]
                self.files[host] = settings
                self.grant(host, ["agent"], [number])

    def write(self, folder):
        hosts = folder / "hosts"
        shutil.rmtree(hosts, ignore_errors=True)
        hosts.mkdir(parents=True)
        head = "// Written by examples/generate.py.\n"
        for host, settings in self.files.items():
            text = json.dumps(settings, indent=2)
            (hosts / f"{host}.jsonc").write_text(head + text + "\n")
        grants = json.dumps({"keys": self.grants}, indent=2)
        (hosts / "allowed-keys.jsonc").write_text(head + grants + "\n")


def main():
    here = pathlib.Path(__file__).parent
    for name, plan in DEPLOYMENTS.items():
        deployment = Deployment(name, plan)
        deployment.add_control()
        deployment.add_balancers()
        deployment.add_agents()
        deployment.write(here / name)


if __name__ == "__main__":
    main()
