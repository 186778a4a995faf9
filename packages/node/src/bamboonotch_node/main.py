"""Entry point of ``bamboonotch-node``."""

from __future__ import annotations

import asyncio
import secrets
import signal
import sys
from pathlib import Path

import click
from twisted.internet import asyncioreactor

from bamboonotch_core.errors import SettingsError
from bamboonotch_core.settings import NodeSettings
from bamboonotch_node.clock import unix_ms
from bamboonotch_node.logs import configure_logs, log_event
from bamboonotch_node.settings import read_settings

__all__ = ["main"]

EXIT_FAILED = 1
EXIT_SETTINGS = 2
SEED_BITS = 63


@click.command(name="bamboonotch-node")
@click.option(
    "--settings",
    "settings_path",
    required=True,
    type=click.Path(path_type=Path),
    help="INI file with the node's settings.",
)
@click.option("--check-settings", is_flag=True, help="Check the settings file and exit.")
def main(settings_path: Path, check_settings: bool) -> None:
    """Run the process beside a backend server.

    Exit status: 0 after a graceful shutdown, 1 when the node could not start, 2 when the settings
    are wrong.
    """
    try:
        settings = read_settings(settings_path)
    except SettingsError as error:
        click.echo(f"bamboonotch-node: {error}", err=True)
        sys.exit(EXIT_SETTINGS)
    if check_settings:
        click.echo(f"{settings_path}: settings are valid")
        return
    configure_logs(settings.identity.node_id)
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    try:
        loop.run_until_complete(_run(settings))
    except OSError as error:
        log_event("node-failed", fault=str(error))
        sys.exit(EXIT_FAILED)


async def _run(settings: NodeSettings) -> None:
    # The reactor must be installed on the loop before anything imports it.
    from twisted.internet import reactor

    from bamboonotch_node.runtime import NodeRuntime

    reactor.startRunning(installSignalHandlers=False)  # type: ignore[attr-defined]
    runtime = NodeRuntime(settings, unix_ms(), secrets.randbits(SEED_BITS), reactor)
    async with runtime:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, runtime.request_shutdown)
        await runtime.wait_stopped()
