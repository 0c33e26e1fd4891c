"""A stand-in for the platform's configuration service, for trials, demos and tests.

It serves `GET /v1/values/<key>`; with `?after=<revision>&era=<era>&wait_ms=<time>` the call is a
long poll that ends with 304 if nothing changed, or at once if that era has passed. It counts the
calls, limits their rate, and injects faults: slow, failed, stale, truncated or corrupted responses,
and values that go back to an older revision.
It can be restored from an older copy, in a new era. `POST /standin/evacuations` with a JSON array
of data centres evacuates these and no others.
"""

from __future__ import annotations

import re
from contextlib import suppress
from dataclasses import asdict
from functools import partial
from pathlib import Path
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import TYPE_CHECKING, Any

import curio
import h11
import msgspec
from curio.network import tcp_server_socket

from trefoilpick._standin_http import Call, CallConnection
from trefoilpick._standin_values import (
    EVACUATIONS_KEY,
    Faults,
    StandinCounts,
    StandinValues,
    decode_evacuations,
)
from trefoilpick._task_groups import run_until_first_ends
from trefoilpick._text_validation import validate_text
from trefoilpick.errors import ErrorKind, TrefoilpickError
from trefoilpick.manifest import (
    Manifest,
    SectionRef,
    compute_digest,
    encode_manifest,
    identify_version,
)
from trefoilpick.sections import encode_section
from trefoilpick.source import (
    ERA_HEADER,
    MANIFEST_KEY,
    REVISION_HEADER,
    VMS_KEY,
    SourceValue,
    build_section_key,
)
from trefoilpick.vms import VmList

if TYPE_CHECKING:
    from collections.abc import Iterable
    from types import TracebackType

    from trefoilpick.document import Section
    from trefoilpick.manifest import VersionId
    from trefoilpick.vms import Vm

POLL_INTERVAL_S = 0.05
"""Interval at which the folder is polled, in seconds."""

MAX_WAIT_MS = 600_000
"""Longest timeout of a watch, in milliseconds."""

BACKLOG = 1_024
"""Length of the listen queue, in connections."""

DEFAULT_RATE = 2_000
"""Default rate limit, in calls per second."""

VALUES_PATH = "/v1/values/"
FAULTS_PATH = "/standin/faults"
COUNTS_PATH = "/standin/counts"
EVACUATIONS_PATH = "/standin/evacuations"

_KEY_PATTERN = re.compile(r"manifest|vms|sections/[0-9a-f]{32}")


class Standin:
    """A configuration service in this process.

    Use it as a context manager, which serves in a task of the running kernel, or call `run`.

    Args:
        sock: A listening curio socket.
        folder: Folder with the published values; None if `put_value` alone publishes them.
        rate: Rate limit, in calls per second; further calls are refused with status 429.

    Attributes:
        address: Address that it listens on, as "ip:port".
        values: The values that it serves.
    """

    def __init__(self, sock: Any, *, folder: Path | None, rate: int) -> None:
        host, port = sock.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.values = StandinValues()
        self._sock = sock
        self._folder = folder
        self._rate = rate
        self._faults = Faults()
        self._changed = curio.Condition()
        self._task: curio.Task | None = None

    @property
    def counts(self) -> StandinCounts:
        """Counts of the calls so far."""
        return self.values.counts.read()

    async def put_value(self, key: str, data: bytes) -> int:
        """Publish a value and wake the watches.

        Args:
            key: "manifest", "vms" or "sections/<digest>".
            data: The value's bytes.

        Returns:
            The value's revision.
        """
        revision = self.values.put(key, data)
        await self._wake()
        return revision

    async def put_version(
        self, number: int, sections: Iterable[Section], *, accepted_at_ms: int
    ) -> VersionId:
        """Publish a version: its sections first, its manifest last.

        Args:
            number: Version number.
            sections: All sections, ordered by team; they are not validated, unlike in `accept`.
            accepted_at_ms: Time of acceptance, in milliseconds since the Unix epoch.

        Returns:
            The identity of the version.
        """
        refs = []
        for section in sections:
            data = encode_section(section)
            digest = compute_digest(data)
            await self.put_value(build_section_key(digest), data)
            refs.append(SectionRef(section.team, digest, len(data)))
        manifest = Manifest(number, accepted_at_ms, tuple(refs))
        await self.put_value(MANIFEST_KEY, encode_manifest(manifest))
        return identify_version(manifest)

    async def put_vms(self, revision: int, vms: Iterable[Vm]) -> None:
        """Publish a list of VMs, in any order."""
        vm_list = VmList(revision, tuple(sorted(vms, key=lambda vm: vm.name)))
        await self.put_value(VMS_KEY, msgspec.json.encode(vm_list))

    async def set_faults(self, faults: Faults) -> None:
        """Replace the current faults."""
        self._faults = faults
        self.values.set_frozen(is_frozen=faults.stale)
        await self._wake()

    async def evacuate(self, data_centres: Iterable[str]) -> None:
        """Evacuate these data centres, and end the evacuations of all others."""
        await self.put_value(EVACUATIONS_KEY, msgspec.json.encode(sorted(set(data_centres))))

    async def restore(self, back_s: float) -> None:
        """Return to the values of some seconds ago, in a new era; watches end."""
        self.values.restore(back_s)
        await self._wake()

    async def run(self) -> None:
        """Serve until cancelled."""
        loops = [self._accept]
        if self._folder is not None:
            loops.append(partial(self._poll_folder, self._folder))
        await run_until_first_ends(*loops)

    async def close(self) -> None:
        """Stop serving and close all connections."""
        if self._task is not None:
            await self._task.cancel()
            self._task = None
        await self._sock.close()

    async def __aenter__(self) -> Standin:
        self._task = await curio.spawn(self.run)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    async def _wake(self) -> None:
        async with self._changed:
            await self._changed.notify_all()

    async def _poll_folder(self, folder: Path) -> None:
        signatures: dict[str, tuple[int, int, int]] = {}
        while True:
            for key in (MANIFEST_KEY, VMS_KEY):
                with suppress(OSError):
                    stat = (folder / key).stat()
                    signature = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
                    if signatures.get(key) != signature:
                        signatures[key] = signature
                        await self.put_value(key, (folder / key).read_bytes())
            await curio.sleep(POLL_INTERVAL_S)

    async def _accept(self) -> None:
        async with curio.TaskGroup(wait=None) as group:
            while True:
                client, _ = await self._sock.accept()
                client.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
                await group.spawn(self._serve, client, daemon=True)

    async def _serve(self, client: Any) -> None:
        connection = CallConnection(client)
        async with client:
            with suppress(OSError, h11.ProtocolError):
                while call := await connection.receive():
                    if not await self._answer(connection, call):
                        return

    async def _answer(self, connection: CallConnection, call: Call) -> bool:
        if call.path == COUNTS_PATH:
            return await connection.send(200, msgspec.json.encode(self.counts))
        if call.path == FAULTS_PATH:
            return await self._change_faults(connection, call.body)
        if call.path == EVACUATIONS_PATH:
            return await self._change_evacuations(connection, call.body)
        if call.method != "GET" or not call.path.startswith(VALUES_PATH):
            return await connection.send(404)
        return await self._answer_value(connection, call)

    async def _change_faults(self, connection: CallConnection, body: bytes) -> bool:
        checked = validate_text(body.decode("utf-8", "replace"), Faults)
        if checked.faults:
            text = "\n".join(map(str, checked.faults))
            return await connection.send(400, text.encode())
        faults = msgspec.convert(checked.raw, Faults)
        await self.set_faults(faults)
        return await connection.send(200, msgspec.json.encode(asdict(faults)))

    async def _change_evacuations(self, connection: CallConnection, body: bytes) -> bool:
        try:
            data_centres = decode_evacuations(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            return await connection.send(400, str(error).encode())
        await self.evacuate(data_centres)
        return await connection.send(200, msgspec.json.encode(data_centres))

    async def _answer_value(self, connection: CallConnection, call: Call) -> bool:
        key = call.path.removeprefix(VALUES_PATH)
        is_watch = "after" in call.query
        second = int(await curio.clock())
        if self.values.counts.add(second, key, is_watch=is_watch) > self._rate:
            self.values.counts.rate_limited += 1
            return await connection.send(429, headers=(("retry-after", "1"),))
        delay_ms = self._get_faults(key).delay_ms
        if delay_ms:
            await curio.sleep(delay_ms / 1000)
        value = await self._wait_for_change(key, call) if is_watch else self._find_value(key)
        era = ((ERA_HEADER, str(self.values.era)),)
        if self._get_faults(key).down:
            return await connection.send(503, headers=era)
        if value is None:
            return await connection.send(304 if is_watch else 404, headers=era)
        return await self._send_value(connection, key, value)

    async def _wait_for_change(self, key: str, call: Call) -> SourceValue | None:
        after, era = call.read_number("after"), call.read_number("era")
        wait_ms = min(call.read_number("wait_ms"), MAX_WAIT_MS)
        self.values.counts.watching += 1
        try:
            async with curio.ignore_after(wait_ms / 1000):
                while not self._get_faults(key).down and self.values.era == era:
                    value = self._find_value(key)
                    if value is not None and value.revision > after:
                        return value
                    async with self._changed:
                        await self._changed.wait()
            return None
        finally:
            self.values.counts.watching -= 1

    def _get_faults(self, key: str) -> Faults:
        return self._faults if key.startswith(self._faults.prefix) else Faults()

    def _find_value(self, key: str) -> SourceValue | None:
        if not _KEY_PATTERN.fullmatch(key):
            return None
        value = self.values.get(key)
        if value is None and self._folder is not None and key not in (MANIFEST_KEY, VMS_KEY):
            with suppress(OSError):
                self.values.put(key, (self._folder / key).read_bytes())
            value = self.values.get(key)
        return value

    async def _send_value(self, connection: CallConnection, key: str, value: SourceValue) -> bool:
        faults = self._get_faults(key)
        if faults.backwards:
            value = self.values.get_previous(key) or value
        data = bytes(byte ^ 1 for byte in value.data) if faults.wrong else value.data
        headers = (
            (REVISION_HEADER, str(value.revision)),
            (ERA_HEADER, str(self.values.era)),
        )
        self.values.counts.bytes_sent += len(data)
        if faults.truncated:
            await connection.send_truncated(data, headers=headers)
            return False
        return await connection.send(200, data, headers=headers)


def open_standin(
    host: str = "127.0.0.1",
    port: int = 0,
    *,
    folder: Path | None = None,
    rate: int = DEFAULT_RATE,
) -> Standin:
    """Open the listening socket of a stand-in; it serves once it is entered or run.

    Args:
        host: IP address to listen on.
        port: Port to listen on; 0 selects a free one.
        folder: Folder with `manifest`, `vms` and `sections/<digest>`, polled for changes.
        rate: Rate limit, in calls per second.

    Raises:
        TrefoilpickError: `SETTINGS_FAULTY` if it cannot listen on the address.
    """
    try:
        sock = tcp_server_socket(host, port, backlog=BACKLOG, reuse_address=True)
    except (OSError, OverflowError) as error:
        text = f'stand-in cannot listen on "{host}:{port}": {error}'
        raise TrefoilpickError(ErrorKind.SETTINGS_FAULTY, text) from error
    return Standin(sock, folder=folder, rate=rate)
