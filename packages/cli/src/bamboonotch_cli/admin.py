"""Calls to the admin interface of nodes."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from bamboonotch_cli.errors import CommandError, ExitStatus
from bamboonotch_core.member_record import MemberRecord, MemberState
from bamboonotch_store.http import ExchangeFailedError, HttpExchange, HttpTransport

__all__ = ["AdminClient", "NodeCallError", "NodeStatus", "parse_member", "parse_status"]

HTTP_OK = 200
MAX_SHOWN_CHARACTERS = 200
_TEXT_FIELDS = (
    "node_id",
    "region",
    "data_centre",
    "peer_address",
    "http_address",
    "admin_address",
    "service",
)
_INTEGER_FIELDS = ("incarnation", "sequence", "slots", "relay_slot")


class NodeCallError(CommandError):
    """A node did not answer, or its answer is malformed.

    :param address: admin address of the node.
    :param reason: what went wrong.
    """

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(
            ExitStatus.NODE_UNREACHABLE,
            f"node at {address}: {reason}",
            "check that the node runs and that the address is its admin address, then repeat "
            "the command",
        )
        self.address = address
        self.reason = reason


class NodeStatus:
    """A node's status.

    :param value: the answer of ``GET /v1/status``, checked by :func:`parse_status`.
    """

    def __init__(self, value: dict[str, Any]) -> None:
        self.value = value
        self.node_id: str = value["node_id"]
        self.running_version: int = value["running_version"]
        self.held_version: int = value["held_version"]
        # Absent in the answers of earlier releases.
        superseded_by = value.get("superseded_by", 0)
        self.superseded_by: int = superseded_by if type(superseded_by) is int else 0
        self.serving: bool = value["serving"]
        self.reason: str = value["reason"]
        self.members_known: int = value["members_known"]


def parse_status(address: str, value: Any) -> NodeStatus:
    """Check a status.

    :param address: admin address of the node.
    :param value: the parsed answer.
    :raises NodeCallError: when a field is missing or of the wrong type.
    """
    types = {
        "node_id": str,
        "running_version": int,
        "held_version": int,
        "serving": bool,
        "reason": str,
        "members_known": int,
    }
    if not isinstance(value, dict):
        raise NodeCallError(address, "status is not a JSON object")
    for field, expected in types.items():
        if type(value.get(field)) is not expected:
            raise NodeCallError(address, f"status field {field} is missing or malformed")
    return NodeStatus(value)


def parse_member(address: str, value: Any) -> MemberRecord:
    """Check one member record.

    :param address: admin address of the node that told it.
    :param value: the parsed record.
    :raises NodeCallError: when a field is missing or of the wrong type.
    """
    if not isinstance(value, dict):
        raise NodeCallError(address, "member record is not a JSON object")
    for fields, expected in ((_TEXT_FIELDS, str), (_INTEGER_FIELDS, int)):
        for field in fields:
            if type(value.get(field)) is not expected:
                raise NodeCallError(address, f"member field {field} is missing or malformed")
    try:
        state = MemberState(value.get("state"))
    except ValueError as error:
        raise NodeCallError(address, f"member field state: {error}") from error
    names = (*_TEXT_FIELDS, *_INTEGER_FIELDS)
    return MemberRecord(state=state, **{name: value[name] for name in names})


class AdminClient:
    """Calls nodes; a context manager that owns its connections.

    :param reactor: Twisted reactor.
    :param timeout_ms: longest wait for one answer, in milliseconds.
    """

    def __init__(self, reactor: Any, timeout_ms: int) -> None:
        self._transport = HttpTransport(reactor)
        self._timeout_ms = timeout_ms

    async def __aenter__(self) -> AdminClient:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._transport.close()

    async def get(
        self, address: str, path: str, parameters: Mapping[str, str] | None = None
    ) -> Any:
        """Read a JSON value.

        :param address: admin address of the node.
        :param path: path of the resource.
        :param parameters: query parameters.
        :raises NodeCallError: when the node does not answer as it should.
        """
        return await self._call(address, "GET", path, tuple((parameters or {}).items()))

    async def post(self, address: str, path: str) -> Any:
        """Give a command and return the JSON answer.

        :param address: admin address of the node.
        :param path: path of the resource.
        :raises NodeCallError: when the node does not answer as it should.
        """
        return await self._call(address, "POST", path, ())

    async def read_status(self, address: str) -> NodeStatus:
        """Read a node's status.

        :param address: admin address of the node.
        :raises NodeCallError: when the node does not answer as it should.
        """
        return parse_status(address, await self.get(address, "/v1/status"))

    async def read_members(self, address: str) -> tuple[MemberRecord, ...]:
        """Read the members that a node knows.

        :param address: admin address of the node.
        :raises NodeCallError: when the node does not answer as it should.
        """
        values = await self.get(address, "/v1/members")
        if not isinstance(values, list):
            raise NodeCallError(address, "members are not a JSON list")
        return tuple(parse_member(address, value) for value in values)

    async def _call(
        self, address: str, method: str, path: str, parameters: tuple[tuple[str, str], ...]
    ) -> Any:
        exchange = HttpExchange(address, method, path, parameters, b"", self._timeout_ms)
        try:
            answer = await self._transport.exchange(exchange)
        except ExchangeFailedError as error:
            raise NodeCallError(address, str(error)) from error
        if answer.status != HTTP_OK:
            text = answer.body.decode("utf-8", "replace").strip()[:MAX_SHOWN_CHARACTERS]
            raise NodeCallError(address, f"{method} {path}: status {answer.status}: {text}")
        try:
            return json.loads(answer.body)
        except (ValueError, RecursionError) as error:
            raise NodeCallError(address, f"answer is not JSON: {error}") from error
