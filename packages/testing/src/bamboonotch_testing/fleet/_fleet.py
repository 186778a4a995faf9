"""A whole fleet of separate processes."""

from __future__ import annotations

import contextlib
import json
import tempfile
import time
import uuid
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any

from bamboonotch_testing.fleet._addresses import FleetAddresses, NodeAddresses
from bamboonotch_testing.fleet._http import HttpAnswer, call_http, call_json
from bamboonotch_testing.fleet._layout import Layout, NodePlace
from bamboonotch_testing.fleet._process import ManagedProcess
from bamboonotch_testing.fleet._settings_file import SettingsSections, write_settings_file
from bamboonotch_testing.fleet._wait import wait_until
from bamboonotch_testing.proxy_group import ProxyPlan

__all__ = ["Fleet", "NodeHandle"]

START_TIMEOUT_S = 30.0
CLI_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class NodeHandle:
    """One node, its backend server and their addresses.

    :param place: where it is and what it serves.
    :param addresses: its addresses.
    :param node: the node's process.
    :param backend: the backend server's process.
    """

    place: NodePlace
    addresses: NodeAddresses
    node: ManagedProcess
    backend: ManagedProcess

    @property
    def node_id(self) -> str:
        """Id of the node."""
        return self.place.node_id

    def status(self) -> dict[str, Any]:
        """Return the node's status, or an empty one while it does not answer."""
        try:
            status: dict[str, Any] = call_json(self.addresses.admin, "GET", "/v1/status")
        except (OSError, AssertionError):
            return {}
        return status

    def members(self) -> dict[str, dict[str, Any]]:
        """Return the member records that the node knows, by node id."""
        records = call_json(self.addresses.admin, "GET", "/v1/members")
        return {record["node_id"]: record for record in records}

    def events(self, prefix: str = "") -> list[dict[str, Any]]:
        """Return the node's reported events.

        :param prefix: only events whose name starts with this.
        """
        path = f"/v1/explain/events?limit=2000&prefix={prefix}"
        events: list[dict[str, Any]] = call_json(self.addresses.admin, "GET", path)
        return events

    def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> HttpAnswer:
        """Send a request to the node as a caller.

        :param method: HTTP method.
        :param path: path with query.
        :param body: request body.
        :param headers: request headers.
        :param timeout_s: longest wait, in seconds.
        """
        return call_http(
            self.addresses.http, method, path, body=body, headers=headers, timeout_s=timeout_s
        )

    def runs(self) -> list[dict[str, Any]]:
        """Return what the backend server ran."""
        record = call_json(self.addresses.backend, "GET", "/control/runs")
        runs: list[dict[str, Any]] = record["runs"]
        return runs


class Fleet:
    """Owns the processes of a fleet; leaving the context ends them.

    :param layout: data centres, services and the first configuration.
    :param settings: extra settings of every node, by section and key.
    :param proxied: whether every connection to a node's peer port and to the store passes through
        a fault proxy for the region that it comes from.
    """

    def __init__(
        self,
        layout: Layout,
        settings: SettingsSections | None = None,
        *,
        proxied: bool = False,
    ) -> None:
        self.layout = layout
        self._proxied = proxied
        self._settings = settings or {}
        self._stack = contextlib.ExitStack()
        self._addresses = FleetAddresses()
        self._stack.callback(self._addresses.close)
        directory = self._stack.enter_context(tempfile.TemporaryDirectory(prefix="bamboonotch-"))
        self.directory = Path(directory)
        self.store = ManagedProcess(
            "store",
            ["-m", "bamboonotch_testing.store_server", "--listen", self._addresses.store],
            self.directory,
        )
        self._places = layout.places()
        self.nodes = tuple(
            self._make_handle(index, place) for index, place in enumerate(self._places)
        )

    def __enter__(self) -> Fleet:
        self._start_process(self.store)
        wait_until("store answers", self._store_answers, START_TIMEOUT_S)
        if self._proxied:
            self._start_proxies()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stack.close()

    @property
    def store_address(self) -> str:
        """Where the store listens."""
        return self._addresses.store

    def inject(self, fault: str, **labels: str | float) -> None:
        """Inject a fault into chosen proxies, see :mod:`bamboonotch_testing.proxy_group`.

        :param fault: the fault.
        :param labels: labels of the proxies, and ``delay_ms``.
        """
        call_json(self._addresses.proxy_control, "POST", "/", {"fault": fault, **labels})

    def partition_regions(self, first: str, second: str) -> None:
        """Cut all connections between two regions, with the store in its own region.

        :param first: a region.
        :param second: another region.
        """
        self.inject("partition", source=first, target_region=second)
        self.inject("partition", source=second, target_region=first)

    def proxied_bytes(self) -> list[dict[str, Any]]:
        """Return the labels and counters of every proxy."""
        counters: list[dict[str, Any]] = call_json(self._addresses.proxy_control, "GET", "/")
        return counters

    def set_store_fault(self, **changes: str | int | bool) -> None:
        """Change the store's faults, see :mod:`bamboonotch_testing.store_server`.

        :param changes: fields to change.
        """
        call_json(self.store_address, "POST", "/control/fault", changes)

    def start(self, nodes: Sequence[NodeHandle] | None = None) -> None:
        """Start nodes and their backend servers.

        :param nodes: which; all by default.
        """
        for handle in nodes or self.nodes:
            self._start_process(handle.backend)
            self._start_process(handle.node)

    def node(self, node_id: str) -> NodeHandle:
        """Return one node.

        :param node_id: its id.
        """
        return next(handle for handle in self.nodes if handle.node_id == node_id)

    def of_service(self, service: str) -> tuple[NodeHandle, ...]:
        """Return the nodes beside the backend servers of a service.

        :param service: name of the service.
        """
        return tuple(handle for handle in self.nodes if handle.place.service == service)

    def submit(
        self, base_version: int, operations: Sequence[Mapping[str, Any]], comment: str = "test"
    ) -> int:
        """Submit a patch through the operators' command and return the accepted version.

        :param base_version: version that the patch builds on.
        :param operations: the patch.
        :param comment: why.
        :raises AssertionError: when the patch is not accepted.
        """
        path = self.directory / f"patch-{uuid.uuid4().hex}.json"
        path.write_text(json.dumps(operations))
        base = str(base_version)
        result = self.command("submit", "--base", base, "--comment", comment, str(path))
        return int(result["version"])

    def submit_first_document(self) -> int:
        """Submit the layout's document as version 1 and return the version."""
        operations = [
            {"op": "replace", "path": f"/{section}", "value": value}
            for section, value in self.layout.document.items()
        ]
        return self.submit(0, operations, "first configuration")

    def command(self, *arguments: str, expected_status: int = 0) -> dict[str, Any]:
        """Run the operators' command and return its JSON output.

        :param arguments: arguments after the connection options.
        :param expected_status: exit status that is expected.
        :raises AssertionError: when the exit status is another one.
        """
        options = [
            "--store-address",
            self.store_address,
            "--store-region",
            self.layout.store_region,
            "--tenant",
            self.layout.tenant,
            "--node-admin-address",
            self.nodes[0].addresses.admin,
            "--output",
            "json",
        ]
        process = ManagedProcess(
            f"command-{uuid.uuid4().hex}",
            ["-m", "bamboonotch_cli", *options, *arguments],
            self.directory,
        )
        with process:
            status = process.wait(CLI_TIMEOUT_S)
        output = process.read_log()
        assert status == expected_status, f"bamboonotch {arguments}: status {status}: {output}"
        result: dict[str, Any] = json.loads(output) if output.strip() else {}
        return result

    def wait_for_version(
        self, version: int, timeout_s: float, nodes: Sequence[NodeHandle] | None = None
    ) -> float:
        """Wait until nodes run a version and serve, and return the time it took, in seconds.

        :param version: the version.
        :param timeout_s: longest wait, in seconds.
        :param nodes: which; all by default.
        """
        started = time.monotonic()
        for handle in nodes or self.nodes:

            def runs_version(handle: NodeHandle = handle) -> bool:
                status = handle.status()
                return bool(status.get("serving")) and status["running_version"] >= version

            wait_until(f"{handle.node_id} runs version {version}", runs_version, timeout_s)
        return time.monotonic() - started

    def wait_for_members(
        self, timeout_s: float, nodes: Sequence[NodeHandle] | None = None, state: str = "ready"
    ) -> None:
        """Wait until nodes know each other in a state.

        :param timeout_s: longest wait, in seconds.
        :param nodes: which; all by default.
        :param state: the state.
        """
        chosen = nodes or self.nodes
        wanted = {handle.node_id for handle in chosen}

        def known(handle: NodeHandle) -> bool:
            try:
                members = handle.members()
            except (OSError, AssertionError):
                return False
            return wanted <= {
                node_id for node_id, record in members.items() if record["state"] == state
            }

        for handle in chosen:
            wait_until(
                f"{handle.node_id} knows {len(wanted)} members",
                lambda handle=handle: known(handle),  # type: ignore[misc]
                timeout_s,
            )

    def _make_handle(self, index: int, place: NodePlace) -> NodeHandle:
        addresses = self._addresses.node(index)
        path = self.directory / f"{place.node_id}.ini"
        write_settings_file(path, dict(self._node_sections(place, addresses)))
        node = ManagedProcess(
            f"node-{place.node_id}",
            ["-m", "bamboonotch_node", "--settings", str(path)],
            self.directory,
        )
        backend = ManagedProcess(
            f"backend-{place.node_id}",
            [
                "-m",
                "bamboonotch_testing.backend_server",
                "--listen",
                addresses.backend,
                "--announce",
                addresses.admin,
                "--service",
                place.service,
                "--slots",
                str(place.slots),
            ],
            self.directory,
        )
        return NodeHandle(place, addresses, node, backend)

    def _node_sections(
        self, place: NodePlace, addresses: NodeAddresses
    ) -> Iterator[tuple[str, Mapping[str, str]]]:
        own: dict[str, dict[str, str]] = {
            "node": {
                "node_id": place.node_id,
                "tenant": self.layout.tenant,
                "region": place.data_centre.region,
                "data_centre": place.data_centre.name,
                "peer_address": addresses.peer,
                "http_address": addresses.http,
                "admin_address": addresses.admin,
            },
            "store": {"address": self.store_address, "region": self.layout.store_region},
        }
        if self._proxied:
            region = self.layout.regions.index(place.data_centre.region)
            own["store"]["address"] = self._addresses.store_proxy(region)
            own["address_translation"] = {
                self._addresses.node(index).peer: self._addresses.node(index).region_proxy(region)
                for index in range(len(self._places))
            }
        for section in {**own, **self._settings}:
            yield section, {**own.get(section, {}), **self._settings.get(section, {})}

    def _start_proxies(self) -> None:
        specification = self.directory / "proxies.json"
        specification.write_text(json.dumps([vars(plan) for plan in self._proxy_plans()]))
        control = self._addresses.proxy_control
        module = "bamboonotch_testing.proxy_group"
        arguments = ["-m", module, "--specification", str(specification), "--control", control]
        self._start_process(ManagedProcess("proxies", arguments, self.directory))
        wait_until("proxies answer", self._proxies_answer, START_TIMEOUT_S)

    def _proxy_plans(self) -> Iterator[ProxyPlan]:
        for number, region in enumerate(self.layout.regions):
            store = self._addresses.store_proxy(number)
            yield ProxyPlan(region, "store", self.layout.store_region, store, self.store_address)
            for index, place in enumerate(self._places):
                node = self._addresses.node(index)
                yield ProxyPlan(
                    region,
                    place.node_id,
                    place.data_centre.region,
                    node.region_proxy(number),
                    node.peer,
                )

    def _proxies_answer(self) -> bool:
        with contextlib.suppress(OSError):
            return bool(self.proxied_bytes())
        return False

    def _start_process(self, process: ManagedProcess) -> None:
        process.start()
        self._stack.callback(process.kill)

    def _store_answers(self) -> bool:
        with contextlib.suppress(OSError):
            return call_http(self.store_address, "GET", "/control/calls").status == 200
        return False
