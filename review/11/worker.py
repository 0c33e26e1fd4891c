"""Stand-in for a worker that can be told to turn away a part of its requests.

A request that it turns away waits in its queue for some milliseconds and then gets 503 with
X-Trefoilpick-Not-Executed, also if its body is not in by then; the connection is closed then. Every other request
is read whole and run. What was run, and the digest of its body, goes to a file.

Arguments: address, port, instance, file for runs, file whose content is the share to turn away.
"""

from __future__ import annotations

import hashlib
import json
import random
import socket
import sys
import threading
import time
from pathlib import Path

MAX_QUEUE_S = 0.015
"""Longest time that a request waits before it is turned away, in seconds."""
HOST, PORT, INSTANCE, RUNS, SHARE = sys.argv[1:6]


class Connection:
    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""

    def receive(self) -> None:
        data = self.sock.recv(65_536)
        if not data:
            raise ConnectionError
        self.buffer += data

    def read_until(self, end: bytes) -> bytes:
        while end not in self.buffer:
            self.receive()
        part, _, self.buffer = self.buffer.partition(end)
        return part

    def read_bytes(self, size: int) -> bytes:
        while len(self.buffer) < size:
            self.receive()
        part, self.buffer = self.buffer[:size], self.buffer[size:]
        return part

    def read_body(self, headers: dict[str, str]) -> bytes:
        if "chunked" not in headers.get("transfer-encoding", ""):
            return self.read_bytes(int(headers.get("content-length", "0")))
        body = b""
        while True:
            size = int(self.read_until(b"\r\n").split(b";")[0], 16)
            chunk = self.read_bytes(size + 2)
            if not size:
                return body
            body += chunk[:-2]


def serve(sock: socket.socket) -> None:
    connection = Connection(sock)
    try:
        while True:
            lines = connection.read_until(b"\r\n\r\n").decode("latin-1").split("\r\n")
            method, target, _ = lines[0].split(" ")
            headers = {
                name.strip().lower(): value.strip()
                for name, _, value in (line.partition(":") for line in lines[1:])
            }
            attempt = headers.get("x-trefoilpick-attempt-id", "")
            echo = f"X-Trefoilpick-Attempt-Id: {attempt}\r\n"
            if headers.get("x-trefoilpick-expected-instance", INSTANCE) != INSTANCE:
                head = f"HTTP/1.1 421 Misdirected Request\r\n{echo}X-Trefoilpick-Instance-Id: {INSTANCE}"
                sock.sendall(f"{head}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
                return
            if random.random() < float(Path(SHARE).read_text() or "0"):
                time.sleep(random.uniform(0.0, MAX_QUEUE_S))
                head = f"HTTP/1.1 503 Service Unavailable\r\n{echo}X-Trefoilpick-Not-Executed: 1"
                sock.sendall(f"{head}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
                return
            body = connection.read_body(headers)
            run = {
                "attempt": attempt,
                "instance": INSTANCE,
                "method": method,
                "target": target,
                "bytes": len(body),
                "digest": hashlib.md5(body).hexdigest(),
            }
            with open(RUNS, "a") as file:
                file.write(json.dumps(run) + "\n")
            answer = f"stored {len(body)} bytes of {attempt}\n".encode()
            signature = hashlib.md5(attempt.encode()).hexdigest()
            head = f"HTTP/1.1 200 OK\r\n{echo}X-Trefoilpick-Response-Signature: {signature}\r\n"
            sock.sendall(f"{head}Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
    except (OSError, ValueError):
        return
    finally:
        sock.close()


def main() -> None:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, int(PORT)))
    listener.listen(128)
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


main()
