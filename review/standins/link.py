"""A link of TCP from a target to its node that can be cut without a word.

While it is cut, nothing passes and new connections are not made. A call that
was under way when the cut began is sent again after 0.2 s, 0.4 s, 0.8 s and so
on, as a kernel does also for a sender that has ended, and arrives at the first
of these times that the cut leaves free.
"""

import socket
import threading
import time


def read_message(link):
    data = b""
    while True:
        head, found, body = data.partition(b"\r\n\r\n")
        if found:
            size = 0
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    size = int(line.split(b":")[1])
            if len(body) >= size:
                return data
        more = link.recv(65536)
        if not more:
            return data
        data += more


class Link:
    def __init__(self, listen, to, note):
        self.to = to
        self.note = note
        self.cut_at_next_call = False
        self.is_cut = False
        self.server = socket.create_server(listen, backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            inbound, _ = self.server.accept()
            threading.Thread(target=self.carry, args=(inbound,), daemon=True).start()

    def carry(self, inbound):
        try:
            inbound.settimeout(5)
            if self.is_cut:
                # No answer: the caller's own time-out ends the call.
                time.sleep(5)
                return
            call = read_message(inbound)
            if self.cut_at_next_call:
                self.cut_at_next_call = False
                self.is_cut = True
                self.note(cut=True)
                inbound.close()
                self.send_again(call)
                return
            inbound.sendall(self.deliver(call))
        except OSError:
            pass
        finally:
            inbound.close()

    def send_again(self, call):
        wait = 0.2
        while self.is_cut:
            time.sleep(wait)
            wait *= 2
        self.note(late_call=call.split(b"\r\n")[0].decode())
        answer = self.deliver(call)
        self.note(late_answer=answer.split(b"\r\n")[0].decode())

    def deliver(self, call):
        with socket.create_connection(self.to, timeout=2) as onward:
            onward.sendall(call)
            return read_message(onward)
