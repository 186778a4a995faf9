"""Blocking HTTP calls for tests and tools."""

from __future__ import annotations

import http.client
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

__all__ = ["HttpAnswer", "call_http", "call_json"]


@dataclass(frozen=True)
class HttpAnswer:
    """Answer to one HTTP call.

    :param status: HTTP status.
    :param headers: headers with lower-case names.
    :param body: the body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """Value of the ``Bamboonotch-Outcome`` header, or empty."""
        return self.headers.get("bamboonotch-outcome", "")

    @property
    def reason(self) -> str:
        """Value of the ``Bamboonotch-Reason`` header, or empty."""
        return self.headers.get("bamboonotch-reason", "")


def call_http(
    address: str,
    method: str,
    path: str,
    *,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 10.0,
) -> HttpAnswer:
    """Make one call on a connection of its own.

    :param address: ``ip:port``.
    :param method: HTTP method.
    :param path: path with query.
    :param body: request body.
    :param headers: request headers.
    :param timeout_s: longest wait for each socket operation, in seconds.
    :raises OSError: when the connection fails.
    :raises http.client.HTTPException: when the answer is incomplete or malformed.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=dict(headers or {}))
        response = connection.getresponse()
        content = response.read()
        names = {name.lower(): value for name, value in response.getheaders()}
        return HttpAnswer(response.status, names, content)
    finally:
        connection.close()


def call_json(address: str, method: str, path: str, value: Any = None) -> Any:
    """Make one call with a JSON body and return the answer's JSON value.

    :param address: ``ip:port``.
    :param method: HTTP method.
    :param path: path with query.
    :param value: request body, or ``None`` for none.
    :raises OSError: when the connection fails.
    :raises AssertionError: when the status is not 2xx.
    """
    body = None if value is None else json.dumps(value).encode()
    headers = {"Content-Type": "application/json"} if body else {}
    answer = call_http(address, method, path, body=body, headers=headers)
    if not 200 <= answer.status < 300:
        raise AssertionError(f"{method} {path}: status {answer.status}: {answer.body[:200]!r}")
    return json.loads(answer.body) if answer.body.strip() else None
