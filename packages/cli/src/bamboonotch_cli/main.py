"""Command line of the operators' command."""

from __future__ import annotations

import getpass
import sys
import uuid
from functools import partial
from pathlib import Path
from typing import Any, BinaryIO

import click

from bamboonotch_cli import nodes, patches, versions
from bamboonotch_cli.runner import CommandContext, run
from bamboonotch_cli.settings import OperatorSettings, check_address, override, read_settings
from bamboonotch_core.errors import SettingsError
from bamboonotch_store.log import MAX_VERSION

__all__ = ["main"]

# One byte above the limit of a patch, so that a longer file is refused and not cut.
MAX_READ_BYTES = 256 * 1024 + 1
MAX_LISTED = 1000
MAX_WAIT_S = 86_400
MAX_TEXT_CHARACTERS = 1000
VERSION = click.IntRange(0, MAX_VERSION)
OUTPUTS = ("text", "json")


def _check_text(context: click.Context, parameter: click.Parameter, value: str) -> str:
    del context, parameter
    if len(value) > MAX_TEXT_CHARACTERS or not value.isprintable():
        raise click.BadParameter(
            f"must be at most {MAX_TEXT_CHARACTERS} printable characters on one line"
        )
    return value


def _check_id(context: click.Context, parameter: click.Parameter, value: str) -> str:
    if not value or any(character.isspace() for character in value):
        raise click.BadParameter("must be one or more characters without spaces")
    return _check_text(context, parameter, value)


def _check_node(context: click.Context, parameter: click.Parameter, value: str) -> str:
    del context, parameter
    try:
        return check_address(value) if ":" in value else value
    except ValueError as error:
        raise click.BadParameter(f"{value!r} {error}, or a node id") from error


def _read_author() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _make_patch_id() -> str:
    return str(uuid.uuid4())


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=Path),
    help="INI file with section [operator]; options override it.",
)
@click.option("--store-address", help="IP:PORT of the platform's key-value service.")
@click.option("--store-region", help="Region that the store is in.")
@click.option("--tenant", help="The customer.")
@click.option(
    "--node-admin-address",
    "node_admin_addresses",
    multiple=True,
    help="Admin IP:PORT of a node; may be repeated.",
)
@click.option("--timeout-ms", type=int, help="Longest wait for one answer, in milliseconds.")
@click.option("--output", type=click.Choice(OUTPUTS), default="text", show_default=True)
@click.pass_context
def main(
    context: click.Context, /, settings_path: Path | None, output: str, **options: Any
) -> None:
    """Submit configuration patches to a mesh and look after its nodes.

    Exit statuses: 0 done, 1 internal error, 2 wrong usage or settings, 3 rejected as stale,
    4 rejected as invalid, 5 unknown, 6 store unavailable, 7 malformed store value, 8 node
    unreachable, 9 wait timed out, 10 not found or not accepted so far.
    """
    try:
        settings = read_settings(settings_path) if settings_path else OperatorSettings()
        settings = override(settings, options)
    except SettingsError as error:
        raise click.UsageError(f"{error}\nNext: correct the settings file.") from error
    except ValueError as error:
        raise click.UsageError(f"--{error}") from error
    context.obj = CommandContext(settings, output == "json")


@main.command()
@click.argument("patch_file", type=click.File("rb"))
@click.option("--base", required=True, type=VERSION, help="Version that the patch builds on.")
@click.option(
    "--patch-id",
    default=_make_patch_id,
    callback=_check_id,
    help="Id of the submission; the same id again is safe.  [default: a new UUID]",
)
@click.option("--author", default=_read_author, callback=_check_text, help="Who submits it.")
@click.option("--comment", default="", callback=_check_text, help="Why.")
@click.pass_obj
def submit(
    context: CommandContext,
    patch_file: BinaryIO,
    base: int,
    patch_id: str,
    author: str,
    comment: str,
) -> None:
    """Submit PATCH_FILE, a list of RFC 6902 operations; '-' reads standard input."""
    text = patch_file.read(MAX_READ_BYTES)
    options = patches.SubmitOptions(base, patch_id, author, comment, text)
    if not context.json_output:
        # Lets the operator ask for the fate when this process ends before the answer.
        print(f"submitting patch {patch_id} on version {base}", file=sys.stderr, flush=True)
    run(context, partial(patches.submit_patch, options=options))


@main.command()
@click.argument("patch_id", callback=_check_id)
@click.option("--base", required=True, type=VERSION, help="Version that the patch builds on.")
@click.pass_obj
def fate(context: CommandContext, patch_id: str, base: int) -> None:
    """Tell what became of the patch PATCH_ID."""
    run(context, partial(patches.read_fate, base_version=base, patch_id=patch_id))


@main.command()
@click.argument("version", type=VERSION, required=False)
@click.pass_obj
def show(context: CommandContext, version: int | None) -> None:
    """Print the document of VERSION, by default of the newest."""
    run(context, partial(versions.show_version, version=version))


@main.command()
@click.argument("old", type=VERSION)
@click.argument("new", type=VERSION)
@click.pass_obj
def diff(context: CommandContext, old: int, new: int) -> None:
    """Print the changes from version OLD to version NEW."""
    run(context, partial(versions.diff_versions, old_version=old, new_version=new))


@main.command(name="versions")
@click.option("--limit", type=click.IntRange(1, MAX_LISTED), default=20, show_default=True)
@click.pass_obj
def list_versions(context: CommandContext, limit: int) -> None:
    """List the newest accepted versions, newest first."""
    run(context, partial(versions.list_versions, limit=limit))


@main.command()
@click.option("--wait", type=VERSION, help="Wait until every live member runs this version.")
@click.option(
    "--timeout",
    type=click.FloatRange(0, MAX_WAIT_S),
    default=30.0,
    show_default=True,
    help="Longest wait, in seconds.",
)
@click.pass_obj
def status(context: CommandContext, wait: int | None, timeout: float) -> None:
    """Show every member's status."""
    run(context, partial(nodes.read_status, wanted_version=wait, timeout_s=timeout))


@main.group()
def explain() -> None:
    """Ask a node why it does what it does."""


NODE_OPTION = click.option(
    "--node",
    default="",
    callback=_check_node,
    help="Node id or admin IP:PORT.  [default: the first that answers]",
)


def _explain(context: CommandContext, subject: str, node: str, **parameters: str) -> None:
    run(context, partial(nodes.explain, subject=subject, node=node, parameters=parameters))


@explain.command(name="request")
@click.argument("path")
@click.option("--method", default="GET", show_default=True)
@NODE_OPTION
@click.pass_obj
def explain_request(context: CommandContext, path: str, method: str, node: str) -> None:
    """Explain where a request for PATH would go."""
    _explain(context, "request", node, method=method, path=path)


@explain.command(name="version")
@NODE_OPTION
@click.pass_obj
def explain_version(context: CommandContext, node: str) -> None:
    """Explain why a node runs the version that it runs."""
    _explain(context, "version", node)


@explain.command(name="events")
@click.option("--limit", type=click.IntRange(1, MAX_LISTED), default=100, show_default=True)
@click.option("--prefix", default="", help="Only events whose name starts with this.")
@NODE_OPTION
@click.pass_obj
def explain_events(context: CommandContext, limit: int, prefix: str, node: str) -> None:
    """Print the newest events of a node."""
    _explain(context, "events", node, limit=str(limit), prefix=prefix)


@main.command()
@click.argument("node", callback=_check_node)
@click.pass_obj
def drain(context: CommandContext, node: str) -> None:
    """Let NODE, an id or an admin IP:PORT, take no new work for its backend server."""
    run(context, partial(nodes.send_command, command="drain", node=node))


@main.command()
@click.argument("node", callback=_check_node)
@click.pass_obj
def undrain(context: CommandContext, node: str) -> None:
    """Let NODE, an id or an admin IP:PORT, take work again."""
    run(context, partial(nodes.send_command, command="undrain", node=node))


if __name__ == "__main__":
    main()
