"""Encoding, decoding and authentication of tokens."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from base64 import urlsafe_b64decode, urlsafe_b64encode

import msgspec

from trefoilpick.errors import ErrorKind, Outcome, TrefoilpickError

MAC_BYTES = 16
"""Length of a token's message authentication code, in bytes."""

KEY_BYTES = 32
"""Length of the key of a process, in bytes."""

MAX_TOKEN_CHARS = 512
"""Longest token that is decoded, in characters."""


class TokenClaims(msgspec.Struct, frozen=True, array_like=True):
    """Claims of a token.

    Attributes:
        vm: Name of the VM whose node issued it.
        incarnation: Start of that node's process, in nanoseconds since the Unix epoch.
        serial: Serial number, unique within that process.
        subject: Digest of the request for which it was issued.
        expires_ms: Expiry, in milliseconds since the Unix epoch.
    """

    vm: str
    incarnation: int
    serial: int
    subject: bytes
    expires_ms: int


class TokenSigner:
    """Signs and verifies the tokens of one process with a key that never leaves it.

    Args:
        vm: Name of the VM.
        incarnation: Start of the process, in nanoseconds since the Unix epoch.
    """

    def __init__(self, vm: str, incarnation: int) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._key = secrets.token_bytes(KEY_BYTES)

    def sign(self, serial: int, subject: bytes, expires_ms: int) -> str:
        """Return a signed token.

        Args:
            serial: Serial number, unique within the process.
            subject: Digest of the request for which it is issued.
            expires_ms: Expiry, in milliseconds since the Unix epoch.
        """
        claims = TokenClaims(self._vm, self._incarnation, serial, subject, expires_ms)
        payload = msgspec.msgpack.encode(claims)
        return urlsafe_b64encode(payload + self._compute_mac(payload)).decode()

    def verify(self, token: str) -> TokenClaims:
        """Verify a token of this process and return its claims.

        Raises:
            TrefoilpickError: `TOKEN_MALFORMED` or `TOKEN_FOREIGN`.
        """
        claims = read_claims(token)
        if (claims.vm, claims.incarnation) != (self._vm, self._incarnation):
            text = f'token was issued by another process, on VM "{claims.vm}"'
            raise TrefoilpickError(ErrorKind.TOKEN_FOREIGN, text)
        payload, mac = _split_token(token)
        if not hmac.compare_digest(mac, self._compute_mac(payload)):
            raise _build_malformed_error("token has an invalid authentication code")
        return claims

    def _compute_mac(self, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, key=self._key, digest_size=MAC_BYTES).digest()


def read_claims(token: str) -> TokenClaims:
    """Return the claims of a token without verifying them.

    Args:
        token: A token of any process.

    Raises:
        TrefoilpickError: `TOKEN_MALFORMED`.
    """
    try:
        return msgspec.msgpack.decode(_split_token(token)[0], type=TokenClaims)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _build_malformed_error("token cannot be decoded") from error


def _split_token(token: str) -> tuple[bytes, bytes]:
    if len(token) > MAX_TOKEN_CHARS:
        raise _build_malformed_error(
            f"token has {len(token)} characters, more than the limit of {MAX_TOKEN_CHARS}"
        )
    try:
        data = urlsafe_b64decode(token)
    except ValueError as error:
        raise _build_malformed_error("token cannot be decoded") from error
    if urlsafe_b64encode(data) != token.encode():
        raise _build_malformed_error("token is not in canonical form")
    return data[:-MAC_BYTES], data[-MAC_BYTES:]


def _build_malformed_error(text: str) -> TrefoilpickError:
    # A request may have run under the original token, of which this one is an altered copy.
    return TrefoilpickError(ErrorKind.TOKEN_MALFORMED, text, outcome=Outcome.UNKNOWN)
