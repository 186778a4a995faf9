"""The state of all nodes of a fleet, read from their admin interfaces."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any, TypeVar

from twisted.internet.defer import Deferred, DeferredSemaphore
from twisted.internet.task import deferLater

from bamboonotch_cli.admin import AdminClient, NodeCallError, NodeStatus
from bamboonotch_cli.errors import CommandError, ExitStatus
from bamboonotch_core.member_record import MemberRecord, MemberState, supersedes

__all__ = ["FleetReader", "FleetView", "MemberView"]

MAX_CONCURRENT_CALLS = 32
POLL_MS = 250
# Each round asks a node that knows more members than were found, as one that just started may
# know only itself.
MAX_DISCOVERY_ROUNDS = 3

_Item = TypeVar("_Item")
_Result = TypeVar("_Result")


@dataclass(frozen=True)
class MemberView:
    """One member as its record and its own status show it.

    :param record: the newest record found.
    :param status: its status, or ``None`` when it is dead or did not answer.
    :param fault: why there is no status, or empty.
    """

    record: MemberRecord
    status: NodeStatus | None
    fault: str

    @property
    def is_dead(self) -> bool:
        """Whether the fleet counts the member as dead."""
        return self.record.state is MemberState.DEAD

    def lacks(self, version: int) -> bool:
        """Tell whether the member is live and does not run a version or a newer one.

        :param version: the version.
        """
        if self.is_dead:
            return False
        return self.status is None or self.status.running_version < version


@dataclass(frozen=True)
class FleetView:
    """All members.

    :param members: the members, sorted by node id.
    """

    members: tuple[MemberView, ...]

    def lacking(self, version: int) -> tuple[MemberView, ...]:
        """Return the live members that do not run a version or a newer one.

        :param version: the version.
        """
        return tuple(member for member in self.members if member.lacks(version))


async def _run_all(
    items: Iterable[_Item], call: Callable[[_Item], Awaitable[_Result]]
) -> list[_Result]:
    """Call for each item with bounded concurrency; the calls must not raise."""
    semaphore = DeferredSemaphore(MAX_CONCURRENT_CALLS)

    def start(item: _Item) -> Deferred[_Result]:
        return Deferred.fromCoroutine(call(item))  # type: ignore[arg-type]

    running = [semaphore.run(start, item) for item in items]
    return [await result for result in running]


class FleetReader:
    """Reads members and their status.

    :param admin: the admin client, which stays open while this is used.
    :param addresses: admin addresses of one or more nodes.
    :param reactor: Twisted reactor.
    """

    def __init__(self, admin: AdminClient, addresses: tuple[str, ...], reactor: Any) -> None:
        self._admin = admin
        self._addresses = addresses
        self._reactor = reactor

    async def find_reachable(self) -> str:
        """Return the first of the given addresses that answers.

        :raises CommandError: when none answers.
        """
        return (await self._read_first())[0]

    async def find_member(self, name: str) -> str:
        """Return the admin address of a node.

        :param name: id of the node.
        :raises CommandError: when no member has the id, or no node answers.
        """
        _, records = await self._read_first()
        for record in records:
            if record.node_id == name:
                return record.admin_address
        raise CommandError(
            ExitStatus.NOT_FOUND,
            f"no member has the id {name!r}",
            "run 'bamboonotch status' for the ids, or name the node by its admin address IP:PORT",
        )

    async def read(self) -> FleetView:
        """Read every member and its status.

        :raises CommandError: when none of the given addresses answers.
        """
        _, first = await self._read_first()
        records = {record.node_id: record for record in first}
        views: dict[str, MemberView] = {}
        await self._read_missing(records, views)
        for _ in range(MAX_DISCOVERY_ROUNDS):
            if not await self._learn_more(records, views):
                break
            await self._read_missing(records, views)
        members = (views[name] for name in sorted(views))
        return FleetView(tuple(members))

    async def wait(self, version: int, timeout_s: float) -> FleetView:
        """Read the fleet until every live member runs a version, or the time has passed.

        :param version: the version.
        :param timeout_s: longest wait, in seconds.
        :returns: the last view.
        :raises CommandError: when none of the given addresses answered in the whole time.
        """
        deadline_s = time.monotonic() + timeout_s
        while True:
            late = time.monotonic() + POLL_MS / 1000 >= deadline_s
            try:
                view = await self.read()
            except CommandError:
                if late:
                    raise
            else:
                if late or not view.lacking(version):
                    return view
            await deferLater(self._reactor, POLL_MS / 1000)

    async def _read_first(self) -> tuple[str, tuple[MemberRecord, ...]]:
        reasons = []
        for address in self._addresses:
            try:
                return address, await self._admin.read_members(address)
            except NodeCallError as error:
                reasons.append(error.message)
        raise CommandError(
            ExitStatus.NODE_UNREACHABLE,
            "none of the given nodes answers: " + "; ".join(reasons),
            "give the admin address of a running node with --node-admin-address",
        )

    async def _read_missing(
        self, records: dict[str, MemberRecord], views: dict[str, MemberView]
    ) -> None:
        missing = [record for name, record in records.items() if name not in views]
        for view in await _run_all(missing, self._read_member):
            views[view.record.node_id] = view

    async def _read_member(self, record: MemberRecord) -> MemberView:
        if record.state is MemberState.DEAD:
            return MemberView(record, None, "dead")
        try:
            status = await self._admin.read_status(record.admin_address)
        except NodeCallError as error:
            return MemberView(record, None, error.reason)
        if status.node_id != record.node_id:
            return MemberView(record, None, f"node {status.node_id!r} answers at its address")
        return MemberView(record, status, "")

    async def _learn_more(
        self, records: dict[str, MemberRecord], views: dict[str, MemberView]
    ) -> bool:
        """Merge the members of the node that knows most; returns whether any record is newer."""
        best = max(
            (view for view in views.values() if view.status is not None),
            key=lambda view: view.status.members_known if view.status else 0,
            default=None,
        )
        if best is None or best.status is None or best.status.members_known <= len(records):
            return False
        try:
            found = await self._admin.read_members(best.record.admin_address)
        except NodeCallError:
            return False
        changed = False
        for record in found:
            if supersedes(record, records.get(record.node_id)):
                records[record.node_id] = record
                views.pop(record.node_id, None)
                changed = True
        return changed
