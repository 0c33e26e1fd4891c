"""What a token says, and the seal that proves that this process said it."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from base64 import urlsafe_b64decode, urlsafe_b64encode

import msgspec

from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError

MAC_BYTES = 16
"""Length of a token's authentication code, in bytes."""

KEY_BYTES = 32
"""Length of the key of one process, in bytes."""

MAX_TOKEN_CHARS = 512
"""Longest token that is read."""


class TokenClaims(msgspec.Struct, frozen=True, array_like=True):
    """What a token says.

    Attributes:
        vm: Name of the VM whose node issued it.
        incarnation: Start of that node's process, in nanoseconds since the Unix epoch.
        serial: Unique within that process.
        subject: Digest of the request that it is for.
        expires_ms: End of its lifetime, in milliseconds since the Unix epoch.
    """

    vm: str
    incarnation: int
    serial: int
    subject: bytes
    expires_ms: int


class TokenSeal:
    """Seals the tokens of one process by a key that it never tells.

    Args:
        vm: Name of the VM.
        incarnation: Start of the process, in nanoseconds since the Unix epoch.
    """

    def __init__(self, vm: str, incarnation: int) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._key = secrets.token_bytes(KEY_BYTES)

    def seal(self, serial: int, subject: bytes, expires_ms: int) -> str:
        """Return a token.

        Args:
            serial: Unique within the process.
            subject: Digest of the request that it is for.
            expires_ms: End of its lifetime, in milliseconds since the Unix epoch.
        """
        claims = TokenClaims(self._vm, self._incarnation, serial, subject, expires_ms)
        payload = msgspec.msgpack.encode(claims)
        return urlsafe_b64encode(payload + self._authenticate(payload)).decode()

    def open(self, token: str) -> TokenClaims:
        """Return what a token of this process says.

        Raises:
            TrefoilpickError: `TOKEN_MALFORMED` or `TOKEN_FOREIGN`.
        """
        claims = read_claims(token)
        if (claims.vm, claims.incarnation) != (self._vm, self._incarnation):
            text = f'token was issued by another process, on VM "{claims.vm}"'
            raise TrefoilpickError(ErrorKind.TOKEN_FOREIGN, text)
        payload, code = _split_token(token)
        if not hmac.compare_digest(code, self._authenticate(payload)):
            raise _reject("token is not authentic")
        return claims

    def _authenticate(self, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, key=self._key, digest_size=MAC_BYTES).digest()


def read_claims(token: str) -> TokenClaims:
    """Read what a token says, without proof that it is authentic.

    Args:
        token: A token of any process.

    Raises:
        TrefoilpickError: `TOKEN_MALFORMED`.
    """
    try:
        return msgspec.msgpack.decode(_split_token(token)[0], type=TokenClaims)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _reject("token is not readable") from error


def _split_token(token: str) -> tuple[bytes, bytes]:
    if len(token) > MAX_TOKEN_CHARS:
        raise _reject(f"token has {len(token)} characters, over {MAX_TOKEN_CHARS}")
    try:
        data = urlsafe_b64decode(token)
    except ValueError as error:
        raise _reject("token is not readable") from error
    if urlsafe_b64encode(data) != token.encode():
        raise _reject("token is not in its canonical form")
    return data[:-MAC_BYTES], data[-MAC_BYTES:]


def _reject(text: str) -> TrefoilpickError:
    # The request may have run under the token that this one was made from.
    return TrefoilpickError(ErrorKind.TOKEN_MALFORMED, text, outcome=Outcome.UNKNOWN)
