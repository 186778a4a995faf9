"""Work of the commands status, explain, drain and undrain."""

from __future__ import annotations

from collections.abc import Mapping

from bamboonotch_cli.admin import AdminClient
from bamboonotch_cli.results import FleetStatus, NodeAnswer
from bamboonotch_cli.session import Session

__all__ = ["explain", "read_status", "send_command"]


async def read_status(
    session: Session, wanted_version: int | None, timeout_s: float
) -> FleetStatus:
    """Read every member's status, and wait for a version if one is given.

    :param session: the session.
    :param wanted_version: version that every live member must run, or ``None``.
    :param timeout_s: longest wait, in seconds.
    """
    fleet = session.open_fleet(await session.open_admin())
    if wanted_version is None:
        return FleetStatus(await fleet.read(), None)
    return FleetStatus(await fleet.wait(wanted_version, timeout_s), wanted_version)


async def explain(
    session: Session, subject: str, node: str, parameters: Mapping[str, str]
) -> NodeAnswer:
    """Ask a node to explain something.

    :param session: the session.
    :param subject: ``request``, ``version`` or ``events``.
    :param node: id or admin address of the node; the first that answers when empty.
    :param parameters: query parameters.
    """
    admin = await session.open_admin()
    address = await _find_address(session, admin, node)
    return NodeAnswer(address, await admin.get(address, f"/v1/explain/{subject}", parameters))


async def send_command(session: Session, command: str, node: str) -> NodeAnswer:
    """Give a node a command; giving it again is safe.

    :param session: the session.
    :param command: ``drain`` or ``undrain``.
    :param node: id or admin address of the node.
    """
    admin = await session.open_admin()
    address = await _find_address(session, admin, node)
    return NodeAnswer(address, await admin.post(address, f"/v1/{command}"))


async def _find_address(session: Session, admin: AdminClient, node: str) -> str:
    if ":" in node:
        return node
    fleet = session.open_fleet(admin)
    return await (fleet.find_member(node) if node else fleet.find_reachable())
