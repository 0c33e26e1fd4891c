"""The readable part of a token: the name of the VM that gave it."""

from __future__ import annotations

from trefoilpick.errors import ErrorKind, TrefoilpickError

SEPARATOR = "~"
"""What stands between the VM's name and the opaque rest of a token."""


def name_token_vm(token: str) -> str:
    """Return the name of the VM that gave a token.

    Raises:
        TrefoilpickError: `TOKEN_MALFORMED`.
    """
    vm, separator, rest = token.partition(SEPARATOR)
    if not vm or not separator or not rest:
        raise TrefoilpickError(ErrorKind.TOKEN_MALFORMED, "the token names no VM")
    return vm
