"""Proper requests of unusual form: none is ended with a status of the node's own."""

from __future__ import annotations

import curio
import pytest
from curio.io import Socket
from fakes_store import make_configuration
from test_path import HOSTS, Platform, run_platform

from trefoilpick._connections import open_connection
from trefoilpick.platform.store import CONFIGURATION_KEY

ID = b"x-trefoilpick-attempt-id: %d\r\n"
READ = b"GET /read/1 HTTP/1.1\r\nhost: ficu.example\r\n"
PUT = b"PUT /upload/1 HTTP/1.1\r\nhost: ficu.example\r\n"
END = b"\r\n"
METHODS = (b"POST", b"PUT", b"DELETE", b"PATCH", b"OPTIONS", b"PROPFIND", b"M-SEARCH", b"x")

FORMS: dict[str, tuple[bytes, ...]] = {
    "upper-case host": (b"GET /read/1 HTTP/1.1\r\nHOST: FICU.Example\r\n", END),
    "host with port": (b"GET /read/1 HTTP/1.1\r\nhost: ficu.example:80\r\n", END),
    "spaces around the host": (b"GET /read/1 HTTP/1.1\r\nhost:   ficu.example  \r\n", END),
    "escaped path": (b"GET /read/a%20b%2Fc%25/%E4%BD%A0 HTTP/1.1\r\nhost: ficu.example\r\n", END),
    "marks in the path": (
        b"GET /read/a:b@c;d=e,f~!$&'()*+|^`{} HTTP/1.1\r\nhost: ficu.example\r\n",
        END,
    ),
    "dots in names": (b"GET /read/..a/b../.c/... HTTP/1.1\r\nhost: ficu.example\r\n", END),
    "empty segments": (b"GET /read//a///b/ HTTP/1.1\r\nhost: ficu.example\r\n", END),
    "only the prefix": (b"GET /read/ HTTP/1.1\r\nhost: ficu.example\r\n", END),
    "long query": (
        b"GET /read/1?q=%b HTTP/1.1\r\nhost: ficu.example\r\n" % (b"/../?" * 2_500),
        END,
    ),
    "empty query": (b"GET /read/1? HTTP/1.1\r\nhost: ficu.example\r\n", END),
    "large head": (READ + b"x-a: %b\r\n" % (b"y" * 16_200), END),
    "large head in parts": (READ + b"x-a: ", b"y" * 8_000, b"y" * 8_100 + b"\r\n", END),
    "many headers": (READ + b"".join(b"x-%d: y\r\n" % n for n in range(900)), END),
    "empty header": (READ + b"x-a:\r\n", END),
    "latin-1 header": (READ + b"x-a: caf\xe9\r\n", END),
    "connection headers": (
        READ + b"connection: keep-alive, x-b, te\r\nx-b: 1\r\nte: trailers\r\n",
        END,
    ),
    "length 0": (READ + b"content-length: 0\r\n", END),
    "head bytewise": (*(bytes((byte,)) for byte in READ + ID % 77), END),
    "body in parts": (PUT + b"content-length: 6\r\n" + ID % 78 + END, b"ab", b"cd", b"ef"),
    "chunks": (
        PUT + b"Transfer-Encoding: Chunked\r\n" + ID % 79 + END,
        b"2\r\nab\r\n",
        b"0\r\n\r\n",
    ),
    "chunk extension and trailer": (
        PUT + b"transfer-encoding: chunked\r\n" + ID % 80 + END,
        b"0002;a=b\r\na",
        b"b\r\n0\r\n",
        b"x-t: 1\r\n\r\n",
    ),
    "expect": (PUT + b"expect: 100-continue\r\ncontent-length: 2\r\n" + ID % 81 + END, b"ab"),
    "expect without a body": (READ + b"expect: 100-continue\r\n", END),
    "upgrade": (READ + b"connection: upgrade\r\nupgrade: h2c\r\n", END),
    "body of a GET": (READ + b"content-length: 2\r\n" + ID % 82 + END, b"ab"),
    "deadline": (READ + b"x-trefoilpick-deadline-ms: 00700\r\n", END),
    **{
        f"method {method.decode()}": (method + READ[3:] + b"content-length: 0\r\n", END)
        for method in METHODS
    },
}


async def receive_final_status(sock: Socket) -> int:
    """Return the status of the final response; 0 if the connection ended without one."""
    data = b""
    while True:
        head, separator, rest = data.partition(b"\r\n\r\n")
        if separator and int(head.split()[1]) >= 200:
            return int(head.split()[1])
        if separator:
            data = rest
            continue
        part = await sock.recv(65_536)
        if not part:
            return 0
        data += part


async def send(sock: Socket, parts: tuple[bytes, ...]) -> int:
    for position, part in enumerate(parts):
        if position == len(parts) - 1 and part == END and ID[:16] not in b"".join(parts):
            await sock.sendall(ID % 5)
        await sock.sendall(part)
        await curio.sleep(0.002 if len(parts) > 9 else 0.02)
    return await receive_final_status(sock)


# Guards against a 3xx or 4xx of the node's own for what the users' protocol allows.
@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
def test_proper_request_of_any_form_reaches_a_worker(is_kept: bool) -> None:
    async def test(platform: Platform) -> None:
        configuration = make_configuration(8)
        del configuration["routes"][1]["traffic-split"]
        configuration["routes"][1]["service"] = "encargos"
        platform.store.put(CONFIGURATION_KEY, configuration)
        await platform.request_until(lambda answer: answer.status == 200, READ)
        statuses = {}
        for form, parts in FORMS.items():
            async with await open_connection(HOSTS[0], platform.ports[2]) as sock:
                if is_kept:
                    assert await send(sock, (READ, END)) == 200
                    await curio.sleep(0.01)
                statuses[form] = await send(sock, parts)
        assert {form: status for form, status in statuses.items() if status != 200} == {}

    run_platform(test)
