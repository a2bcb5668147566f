"""Three control hosts of the users' platform, as processes on loopback."""

from __future__ import annotations

import http.client
import json
import os
import subprocess
import threading
import time
from pathlib import Path

from disk_model import Disk
from sync_delays import SyncDelays

PLACES = ("brest", "lorient", "saint-malo")
REGION = "bretagne"
PEER, NODE, CONTROL, HEALTH = 3001, 3002, 3003, 3004


class ControlHost:
    """One control process with its disk; restarted only by the play."""

    def __init__(
        self, index: int, addresses: list[str], folder: Path, setup, delays: SyncDelays
    ) -> None:  # fmt: skip
        self.name = f"control-{index}"
        self.address = addresses[index]
        self._data = folder / f"data-{index}"
        self._data.mkdir()
        self._log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.jsonc"
        self._setup = setup
        self._delays = delays
        self._place = PLACES[index]
        self._seeds = [f"{each}:{CONTROL}" for each in addresses]
        self._notes = folder / f"notes-{index}"
        self.disk = Disk(self._data, self._notes)
        self._child: subprocess.Popen | None = None
        # Held while the play ends or starts the process on purpose.
        self.lock = threading.RLock()

    def start(self, may_found: bool = True) -> None:
        self._settings.write_text(json.dumps(self._write_settings(may_found)))
        environment = {
            **os.environ,
            "CROWLINK_DISK_NOTES": str(self._notes),
            "CROWLINK_SYNC_DELAYS": str(self._delays.file),
        }
        with self._log.open("ab") as log:
            self._child = subprocess.Popen(
                [str(self._setup.program), str(self._settings)],
                stdout=log, stderr=log, env=environment,
            )  # fmt: skip

    def kill(self) -> None:
        """Its files stay as they were."""
        assert self._child is not None
        self._child.kill()
        self._child.wait()
        self.disk.read_notes()
        self._child = None

    def ended_alone(self) -> str | None:
        """What it said last, if it ended though nobody killed it."""
        with self.lock:
            if self._child is None or self._child.poll() is None:
                return None
            lines = self._log.read_text(errors="replace").splitlines()
            return f"{self.name} ended with {self._child.returncode}: {lines[-1]}"

    @property
    def is_running(self) -> bool:
        return self._child is not None and self._child.poll() is None

    def last_role(self) -> str:
        """The role that its log told last."""
        for line in reversed(self._log.read_text(errors="replace").splitlines()):
            if "event=control_role" in line:
                words = dict(e.split("=", 1) for e in line.split() if "=" in e)
                return words["role"]
            if "event=started" in line:
                break
        return ""

    def _write_settings(self, may_found: bool) -> dict:
        """As platform/settings/control.jsonc has them."""
        return {
            "host": {
                "name": self.address, "place": self._place, "region": REGION,
            },
            "log": {"format": "key_value", "level": self._setup.log_level},
            "data_centres": [
                {"name": each, "region": REGION} for each in PLACES
            ],
            "trusted_network": True,
            "seeds": {
                "hosts": self._seeds, "peer_port": PEER, "node_port": NODE,
            },
            "lease_ms": 1800,
            "pacing_bytes_per_second": 65536,
            "health": f"{self.address}:{HEALTH}",
            "control": {
                "data_folder": str(self._data),
                "peer_listen": f"{self.address}:{PEER}",
                "node_listen": f"{self.address}:{NODE}",
                "may_found": may_found,
                "election_ms": 300,
                "losses_borne": 1,
                "platform_listen": f"{self.address}:{CONTROL}",
            },
        }  # fmt: skip


class Operator:
    """Sends rising versions, reads back, and knows what was acknowledged."""

    CALL_TIMEOUT_S = 2.0

    def __init__(self, addresses: list[str], clock) -> None:
        self._addresses = addresses
        self._clock = clock
        self._turn = 0
        self._lock = threading.Lock()
        # Version and moment of the newest acknowledgement.
        self.acknowledged = (0, 0.0)
        self.last_answer = clock()

    def send(self, version: int, routes: int, is_wanted) -> bool:
        """Sends one version to one host after the other until it is taken."""
        body = json.dumps(configuration(version, routes))
        while is_wanted():
            self._turn += 1
            status, _ = self._call(
                self._addresses[self._turn % len(self._addresses)],
                "POST", "/api/config/replace", body,
            )  # fmt: skip
            if status == 200:
                with self._lock:
                    self.acknowledged = (version, self._clock())
                    self.last_answer = self._clock()
                return True
            time.sleep(0.05)
        return False

    def read(self, address: str) -> tuple[float, int | None]:
        """When it was asked, and the version that the host answered with."""
        asked = self._clock()
        status, body = self._call(address, "GET", "/api/config/read")
        if status != 200:
            return asked, None
        self.last_answer = self._clock()
        return asked, json.loads(body)["version"]

    def _call(self, address: str, verb: str, path: str, body=None):
        try:
            link = http.client.HTTPConnection(
                address, CONTROL, timeout=self.CALL_TIMEOUT_S
            )
            link.request(verb, path, body, {"Content-Type": "application/json"})
            answer = link.getresponse()
            found = answer.status, answer.read()
            link.close()
            return found
        except (OSError, http.client.HTTPException):
            return None, b""


def configuration(version: int, routes: int) -> dict:
    return {
        "version": version,
        "routes": [_route(number, version) for number in range(routes)],
        "services": [
            {
                "name": "registre", "healthPath": "/health",
                "maxConnections": 2000, "protocol": "h1", "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        },
    }  # fmt: skip


def _route(number: int, version: int) -> dict:
    return {
        "name": f"r-{number:06d}",
        "hostname": f"198.18.{number // 250}.{number % 250 + 1}",
        "pathPrefix": "/8080/",
        "routeType": "safe",
        "timeoutMs": 1500 + version % 500,
        "aimMs": 150,
        "priority": 2,
        "service": "registre",
        "attempts": 2,
    }
