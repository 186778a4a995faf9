"""Entry point of ``bamboonotch-node``."""

from __future__ import annotations

import asyncio
import gc
import secrets
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
from twisted.internet import asyncioreactor
from twisted.internet.error import CannotListenError

from bamboonotch_core.errors import SettingsError
from bamboonotch_core.settings import NodeSettings
from bamboonotch_node.clock import unix_ms
from bamboonotch_node.early_signals import release_reload
from bamboonotch_node.logs import configure_logs, log_event
from bamboonotch_node.settings import read_settings

if TYPE_CHECKING:
    from bamboonotch_node.runtime import Surroundings

__all__ = ["main", "make_command"]

EXIT_FAILED = 1
EXIT_SETTINGS = 2
SEED_BITS = 63

SurroundingsMaker = Callable[[NodeSettings], "Surroundings"]


def make_command(
    load_surroundings: Callable[[], SurroundingsMaker], settings_variable: str | None = None
) -> Any:
    """Return the command that runs a node.

    :param load_surroundings: imports and returns what makes the node's surroundings; called once
        the reactor is installed, because modules of Twisted import it.
    :param settings_variable: environment variable that holds the path of the settings file.
    """

    @click.command(name="bamboonotch-node")
    @click.option(
        "--settings",
        "settings_path",
        required=True,
        envvar=settings_variable,
        type=click.Path(path_type=Path),
        help="INI file with the node's settings.",
    )
    @click.option("--check-settings", is_flag=True, help="Check the settings file and exit.")
    def command(settings_path: Path, check_settings: bool) -> None:
        """Run the process beside a backend server.

        Exit status: 0 after a graceful shutdown, 1 when the node could not start, 2 when the
        settings are wrong.
        """
        try:
            settings = read_settings(settings_path)
        except SettingsError as error:
            click.echo(f"bamboonotch-node: {error}", err=True)
            sys.exit(EXIT_SETTINGS)
        if check_settings:
            click.echo(f"{settings_path}: settings are valid")
            return
        _run_node(settings_path, settings, load_surroundings)

    return command


def _load_own_surroundings() -> SurroundingsMaker:
    from bamboonotch_node.runtime import OWN_SURROUNDINGS

    return lambda settings: OWN_SURROUNDINGS


main = make_command(_load_own_surroundings)


def _run_node(
    settings_path: Path, settings: NodeSettings, load_surroundings: Callable[[], SurroundingsMaker]
) -> None:
    configure_logs(settings.identity.node_id)
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    try:
        loop.run_until_complete(_run(settings_path, settings, load_surroundings))
    except (OSError, CannotListenError) as error:
        log_event("node-failed", fault=str(error))
        sys.exit(EXIT_FAILED)


async def _run(
    settings_path: Path, settings: NodeSettings, load_surroundings: Callable[[], SurroundingsMaker]
) -> None:
    # The reactor must be installed on the loop before anything imports it.
    from twisted.internet import reactor

    from bamboonotch_node.runtime import NodeRuntime, SettingsWatch

    reactor.startRunning(installSignalHandlers=False)  # type: ignore[attr-defined]
    surroundings = load_surroundings()(settings)
    seed = secrets.randbits(SEED_BITS)
    runtime = NodeRuntime(settings, unix_ms(), seed, reactor, surroundings)
    async with runtime:
        # What was made so far lives as long as the process; full collections need not look at it.
        gc.collect()
        gc.freeze()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, runtime.request_shutdown)
        with SettingsWatch(
            settings_path, settings, runtime.apply_settings, runtime.report
        ) as watch:
            loop.add_signal_handler(signal.SIGHUP, watch.reload)
            release_reload()
            await runtime.wait_stopped()
