"""Parsing of the addresses in settings and on the command line."""

from __future__ import annotations

from trefoilpick.errors import ErrorKind, TrefoilpickError

MAX_PORT = 65_535
"""Highest TCP port."""

MAX_PORT_DIGITS = 5
"""Number of digits of the highest TCP port; conversion of very long numbers fails."""


def split_address(address: str) -> tuple[str, int]:
    """Split "ip:port" or "[ip]:port".

    Args:
        address: Address in one of the two forms.

    Returns:
        IP address and port.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY`, if the address has neither form.
    """
    host, _, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if host and is_number and 0 < int(port) <= MAX_PORT:
        return host, int(port)
    text = f'address "{address}" is not of the form ip:port'
    raise TrefoilpickError(ErrorKind.SETTINGS_FAULTY, text)
