"""A target: accepts flows, answers each request, announces itself.

Usage: target.py APP OUTBOUND CONTROL SERVICE ID ZONE RECORD
Each line of RECORD is JSON with the time and what was taken, run or answered.
"""

import http.client
import http.server
import json
import random
import socket
import sys
import threading
import time

import wire

HEARTBEAT_S = 1.2


def main():
    app, outbound, control, service, name, zone, record = sys.argv[1:8]
    host, port = app.split(":")
    out_host, out_port = outbound.split(":")
    lines = open(record, "a", buffering=1, encoding="utf-8")

    def note(**fields):
        lines.write(json.dumps({"t": time.monotonic(), "target": name, **fields}) + "\n")

    class Health(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            self.send_response(200)
            self.send_header("X-Instance-Id", name)
            self.send_header("Content-Length", "0")
            self.end_headers()

        def log_message(self, *_):
            pass

    server = http.server.ThreadingHTTPServer((host, int(port)), Health)
    threading.Thread(target=server.serve_forever, daemon=True).start()

    def announce():
        sequence = 0
        while True:
            sequence += 1
            body = json.dumps(
                {
                    "service": service,
                    "address": app,
                    "zone": zone,
                    "version": "v1",
                    "slots": 4,
                    "state": "ready",
                    "warmupLeftMs": 0,
                    "sequence": sequence,
                }
            )
            began = time.monotonic()
            try:
                link = http.client.HTTPConnection(*control.split(":"), timeout=1)
                link.request(
                    "POST",
                    f"/api/instances/{name}/heartbeat",
                    body,
                    {"Content-Type": "application/json"},
                )
                status = link.getresponse().status
                link.close()
            except OSError as failure:
                status = type(failure).__name__
            note(heartbeat=sequence, status=status)
            time.sleep(max(0.0, HEARTBEAT_S - (time.monotonic() - began)))

    threading.Thread(target=announce, daemon=True).start()

    link = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    link.bind((host, int(port)))
    to = (out_host, int(out_port))
    flows = {}

    def send(flow, packet, flags, data=b""):
        raw = wire.pack(
            flags,
            flow["next"],
            flow["acked"],
            0,
            packet.src,
            packet.sport,
            packet.dst,
            packet.dport,
            data,
        )
        link.sendto(raw, to)

    def respond(flow, packet, answer):
        send(flow, packet, wire.ACK, answer)
        flow["next"] += len(answer)

    while True:
        raw = link.recv(4096)
        packet = wire.Packet(raw)
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = flows.get(key)
        if packet.has(wire.RST):
            flows.pop(key, None)
            continue
        if packet.has(wire.SYN):
            if flow is None:
                first = random.getrandbits(31)
                flow = flows[key] = {
                    "first": first,
                    "next": first + 1,
                    "acked": packet.seq + 1,
                    "open": False,
                }
                note(syn=packet.sport)
            link.sendto(
                wire.pack(
                    wire.SYN | wire.ACK,
                    flow["first"],
                    flow["acked"],
                    0,
                    packet.src,
                    packet.sport,
                    packet.dst,
                    packet.dport,
                ),
                to,
            )
            continue
        if flow is None:
            # Not held here: back, with the echo as it came.
            link.sendto(bytes([raw[0] | wire.BOUNCED]) + raw[1:], to)
            note(bounced=packet.sport)
            continue
        if not flow["open"]:
            flow["open"] = True
            note(opened=packet.sport)
        if not packet.data:
            continue
        if packet.seq != flow["acked"]:
            send(flow, packet, wire.ACK)
            continue
        flow["acked"] += len(packet.data)
        wanted = packet.data.decode().split("X-Request-Id: ")[1].split("\r\n")[0]
        path = packet.data.decode().split(" ")[1]
        note(ran=wanted, port=packet.sport)
        answer = (
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
            f"X-Response-Signature: {name}.{wanted}\r\n\r\nok"
        ).encode()
        work_s = float(path.removeprefix("/takes/")) if path.startswith("/takes/") else 0
        threading.Timer(work_s, respond, (flow, packet, answer)).start()


main()
