"""Starts nodes with the command and the template of the deploy file."""

from __future__ import annotations

import os
import re
import signal
import socket
import subprocess
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ["python3", "-OO", "-S", "-m", "bamboonotch_platform"]
KEPT_VARIABLES = ("PATH", "HOME", "LANG")


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free at an address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((ip, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


class Node:
    """One node; its settings are those of a small deployment."""

    def __init__(
        self, name: str, service: str, ip: str, store: str, directory: Path, zone: str = "ktm-a"
    ) -> None:
        peer, admin, outbound, ready, control = free_ports(ip, 5)
        self.name = name
        self.outbound = f"{ip}:{outbound}"
        self.ready = f"{ip}:{ready}"
        self.control = f"{ip}:{control}"
        self.admin = f"{ip}:{admin}"
        self.values = {
            "node": name,
            "region": "bagmati",
            "zone": zone,
            "service": service,
            "ip": ip,
            "internal-port-range.0": str(peer),
            "listen-addrs.outbound": self.outbound,
            "listen-addrs.ready": self.ready,
            "listen-addrs.control": self.control,
            "limits.link-mbps": "1000.0",
            "platform.address": store,
            "heartbeat-s": "1.5",
            "bounds.grace-s": "6",
            "bounds.retry-budget-ratio": "0.2",
            "bounds.retry-budget-slack": "62",
        }
        self.path = directory / f"{name}.ini"
        self.log = directory / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.write_settings()

    def write_settings(self) -> None:
        """Fill in the template of the deploy file, and put the result in place at once."""
        template = (ROOT / "deploy" / "node.ini").read_text()
        # The metrics port is fixed in the template; here every node needs its own.
        template = template.replace("{{ip}}:7601", self.admin)
        # A section is rendered only if there is a value for it.
        template = re.sub(
            r"\{\{#([^}]+)\}\}\n(.*?)\{\{/\1\}\}\n?",
            lambda match: match.group(2) if match.group(1) in self.values else "",
            template,
            flags=re.DOTALL,
        )
        text = re.sub(r"\{\{([^}]+)\}\}", lambda match: self.values[match.group(1)], template)
        new = self.path.with_suffix(".new")
        new.write_text(text)
        new.replace(self.path)

    def start(self) -> None:
        environment = {name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BAMBOONOTCH_CONFIG"] = str(self.path)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
