"""The configurations that the operator of a whole day sends."""

from __future__ import annotations

PORT = 8443


def address_of_added(number: int) -> tuple[str, int]:
    return f"198.19.{number // 250}.{number % 250 + 1}", PORT


def configuration(version: int, added: int, idle: int) -> dict:
    routes = [
        _route("main-1", ("198.18.0.1", PORT), "safe", 1500, "registre"),
        _route("main-2", ("198.18.0.2", PORT), "non_idempotent", 2000, "registre"),
        _route("main-3", ("198.18.0.3", PORT), "download", 5000, "bibliotheque"),
    ]
    for number in range(max(1, added - 3), added + 1):
        service = ("registre", "bibliotheque")[number % 2]
        routes.append(
            _route(f"added-{number}", address_of_added(number), "safe", 1500, service)
        )
    for number in range(idle):
        address = f"198.20.{number // 250}.{number % 250 + 1}", PORT
        timeout = 1000 + (version + number) % 500
        routes.append(_route(f"idle-{number}", address, "safe", timeout, "registre"))
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name, "healthPath": "/health", "maxConnections": 2000,
                "protocol": "h1", "tls": False,
            }
            for name in ("registre", "bibliotheque")
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        },
    }  # fmt: skip


def _route(name: str, address, kind: str, timeout_ms: int, service: str) -> dict:
    return {
        "name": name, "hostname": address[0], "pathPrefix": f"/{address[1]}/",
        "routeType": kind, "timeoutMs": timeout_ms, "aimMs": 150, "priority": 2,
        "service": service, "attempts": 2,
    }  # fmt: skip
