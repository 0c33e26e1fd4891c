"""Listening sockets of a node."""

from __future__ import annotations

import socket

from curio.io import Socket

from trefoilpick.errors import ErrorKind, TrefoilpickError


def open_listener(host: str, port: int, *, name: str, backlog: int) -> Socket:
    """Return a socket that listens on a port.

    Args:
        host: IP address.
        port: TCP port; 0 for any free port.
        name: Purpose of the port, for error messages.
        backlog: Connections that may wait to be accepted.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY`, if the address cannot be listened on.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
        sock.listen(backlog)
    except OSError as error:
        sock.close()
        text = f'{name} cannot listen on "{host}:{port}": {error.strerror}'
        raise TrefoilpickError(ErrorKind.SETTINGS_FAULTY, text) from error
    return Socket(sock)
