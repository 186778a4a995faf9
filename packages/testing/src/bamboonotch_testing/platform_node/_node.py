"""Settings file and process of one node."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from bamboonotch_testing.fleet import ManagedProcess

__all__ = ["PROGRAM", "NodePlan", "PlatformNode"]

PROGRAM: tuple[str, ...] = ("-m", "bamboonotch_platform")
# Below the ephemeral range, so that no outgoing connection takes a port before the node.
PEER_PORT, HTTP_PORT, ADMIN_PORT, READY_PORT, CONTROL_PORT = 7100, 7101, 7102, 7104, 7105
SETTINGS = """\
[node]
node_id = {plan.node_id}
tenant = mesh
region = {plan.region}
data_centre = {plan.data_centre}
service = {plan.service}
peer_address = {peer}
peer_listen_address = {plan.ip}:{peer_port}
http_address = {http}
admin_address = {plan.ip}:{admin_port}
ready_address = {ready}
announcement_address = {control}

[store]
address = {plan.store_address}
region = bagmati
timeout_ms = 300
watch_ms = 1500

[membership]
announcement_timeout_ms = 1500

[requests]
retry_after_ms = 200
retry_budget_initial = 3
shutdown_spread_ms = {plan.shutdown_spread_ms}
shutdown_ms = 5000
"""


@dataclass(frozen=True)
class NodePlan:
    """What a node is.

    :param node_id: its id.
    :param service: service of the backend server beside it.
    :param ip: its own loopback address.
    :param store_address: ``ip:port`` where it reaches the store.
    :param region: its region.
    :param data_centre: its data centre.
    :param peer_address: ``ip:port`` that other nodes dial; empty for the one it binds.
    :param shutdown_spread_ms: how long callers may go on sending to it while it shuts down, in
        milliseconds.
    :param further_settings: lines appended to the settings, which belong to ``[requests]``.
    """

    node_id: str
    service: str
    ip: str
    store_address: str
    region: str = "bagmati"
    data_centre: str = "ktm-a"
    peer_address: str = ""
    shutdown_spread_ms: int = 500
    further_settings: str = ""


class PlatformNode(ManagedProcess):
    """One node process.

    :param plan: what it is.
    :param directory: where its settings and log are.
    :param program: arguments of the interpreter that start the node, without its settings.
    """

    def __init__(self, plan: NodePlan, directory: Path, program: tuple[str, ...] = PROGRAM) -> None:
        self.plan = plan
        self.peer_listen = f"{plan.ip}:{PEER_PORT}"
        self.outbound = f"{plan.ip}:{HTTP_PORT}"
        self.ready = f"{plan.ip}:{READY_PORT}"
        self.control = f"{plan.ip}:{CONTROL_PORT}"
        settings = directory / f"{plan.node_id}.ini"
        text = SETTINGS.format(
            plan=plan,
            peer=plan.peer_address or self.peer_listen,
            peer_port=PEER_PORT,
            http=self.outbound,
            admin_port=ADMIN_PORT,
            ready=self.ready,
            control=self.control,
        )
        settings.write_text(text + plan.further_settings)
        super().__init__(plan.node_id, (*program, "--settings", str(settings)), directory)
