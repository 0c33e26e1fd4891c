"""Handlers for the messages of peers, by message type."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from trefoilpick.messages import (
    Announcement,
    Body,
    CaseNotice,
    EndReports,
    Exchange,
    Fetch,
    FetchSections,
    FetchVms,
    Hello,
    Leaving,
    Refusal,
    Sections,
    StatusRequest,
    VmsDelivery,
    pack_vms,
    unpack_version,
)

if TYPE_CHECKING:
    from trefoilpick.distribution import Distributor
    from trefoilpick.vms import Vm


@singledispatch
async def handle_message(body: Body, node: Distributor, sender: str) -> Body | None:
    """Handle a message and return the answer, or None if it has no answer.

    Args:
        body: The message.
        node: The node that handles it.
        sender: Name of the peer's VM.
    """
    return None


@handle_message.register(Hello)
async def _(body: Hello, node: Distributor, sender: str) -> Body | None:
    if body.vm.name != sender:
        return Refusal("unknown")
    node.membership.add_unlisted(body.vm)
    return node.build_state()


@handle_message.register(Exchange)
async def _(body: Exchange, node: Distributor, sender: str) -> Body | None:
    vm = node.membership.find_vm(sender)
    if vm is None:
        return Refusal("unknown")
    await node.handle_state(body, sender, format_control_address(vm))
    return node.build_state()


@handle_message.register(Announcement)
async def _(body: Announcement, node: Distributor, sender: str) -> Body | None:
    vm = node.membership.find_vm(sender)
    if vm is not None:
        await node.handle_announcement(body, vm)
    return None


@handle_message.register(Leaving)
async def _(body: Leaving, node: Distributor, sender: str) -> Body | None:
    node.membership.record_leaving(sender)
    return None


@handle_message.register(EndReports)
async def _(body: EndReports, node: Distributor, sender: str) -> Body | None:
    if node.membership.find_vm(sender) is not None:
        await node.quarantine.handle_reports(body)
    return None


@handle_message.register(CaseNotice)
async def _(body: CaseNotice, node: Distributor, sender: str) -> Body | None:
    if node.membership.find_vm(sender) is not None:
        await node.quarantine.handle_cases(body.cases, sender)
    return None


@handle_message.register(Fetch)
async def _(body: Fetch, node: Distributor, sender: str) -> Body | None:
    wanted = unpack_version(body.wanted)
    if wanted is None:
        return Refusal("absent")
    if not node.grant_delivery():
        return Refusal("busy")
    delivery = node.store.build_delivery(wanted, unpack_version(body.base))
    return delivery if delivery is not None else Refusal("absent")


@handle_message.register(FetchSections)
async def _(body: FetchSections, node: Distributor, sender: str) -> Body | None:
    if not node.grant_delivery():
        return Refusal("busy")
    return Sections(node.store.list_packed(digest.hex() for digest in body.digests))


@handle_message.register(FetchVms)
async def _(body: FetchVms, node: Distributor, sender: str) -> Body | None:
    change = node.membership.compute_change(body.revision)
    return VmsDelivery(change.revision, change.base, pack_vms(change.changed), change.removed)


@handle_message.register(StatusRequest)
async def _(body: StatusRequest, node: Distributor, sender: str) -> Body | None:
    return node.build_status_answer()


def format_control_address(vm: Vm) -> str:
    """Return the address of a VM's control link as "ip:port"."""
    return f"{vm.host}:{vm.control_port}"
