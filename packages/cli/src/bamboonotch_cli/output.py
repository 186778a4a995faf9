"""Renders results as JSON or text and gives their exit status."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from functools import singledispatch
from typing import Any

from bamboonotch_cli.errors import CommandError, ExitStatus
from bamboonotch_cli.fleet import MemberView
from bamboonotch_cli.results import (
    AcceptedPatch,
    DifferencesShown,
    DocumentShown,
    FleetStatus,
    NodeAnswer,
    VersionsListed,
)
from bamboonotch_core.configuration import Difference, LogEntry
from bamboonotch_store.acceptance import (
    NotAccepted,
    RejectedInvalid,
    RejectedStale,
    SubmissionUnknown,
)

__all__ = ["describe", "exit_status", "render_text"]

MAX_SHOWN_CHARACTERS = 120
SIGNS = {"add": "+", "remove": "-", "replace": "~"}


def _fate_command(patch_id: str, base_version: int) -> str:
    return f"bamboonotch fate --base {base_version} {patch_id}"


def _describe_entry(entry: LogEntry) -> dict[str, Any]:
    return {
        "version": entry.version,
        "patch_id": entry.patch_id,
        "author": entry.author,
        "comment": entry.comment,
        "accepted_at_unix_ms": entry.accepted_at_unix_ms,
        "result_digest": entry.result_digest,
    }


def _describe_differences(differences: tuple[Difference, ...] | None) -> list[Any] | None:
    return None if differences is None else [dict(vars(item)) for item in differences]


def _describe_member(member: MemberView) -> dict[str, Any]:
    record = member.record
    described: dict[str, Any] = {
        "node_id": record.node_id,
        "region": record.region,
        "data_centre": record.data_centre,
        "admin_address": record.admin_address,
        "service": record.service,
        "state": record.state.value,
        "reachable": member.status is not None,
        "fault": member.fault,
    }
    if member.status is not None:
        described["status"] = member.status.value
    return described


@singledispatch
def describe(result: Any) -> Any:
    """Return a result as a JSON value.

    :param result: the result of a command.
    """
    raise TypeError(f"no description of {type(result).__name__}")


@describe.register
def _(result: AcceptedPatch) -> Any:
    described = {"outcome": "accepted", **_describe_entry(result.entry)}
    if result.snapshot_error:
        described["snapshot_error"] = result.snapshot_error
    return described


@describe.register
def _(result: RejectedStale) -> Any:
    return {
        "outcome": "rejected-stale",
        "base_version": result.winner.base_version,
        "winner": _describe_entry(result.winner),
        "newest_version": result.newest_version,
        "differences": _describe_differences(result.differences),
        "next": _stale_step(result),
    }


@describe.register
def _(result: RejectedInvalid) -> Any:
    return {
        "outcome": "rejected-invalid",
        "faults": [dict(vars(fault)) for fault in result.faults],
        "next": INVALID_STEP,
    }


@describe.register
def _(result: SubmissionUnknown) -> Any:
    return {
        "outcome": "unknown",
        "patch_id": result.patch_id,
        "base_version": result.base_version,
        "reason": result.reason,
        "next": _fate_command(result.patch_id, result.base_version),
    }


@describe.register
def _(result: NotAccepted) -> Any:
    return {
        "outcome": "not-accepted",
        "patch_id": result.patch_id,
        "base_version": result.base_version,
        "next": _not_accepted_step(result),
    }


@describe.register
def _(result: DocumentShown) -> Any:
    return {"version": result.version, "document": result.document}


@describe.register
def _(result: DifferencesShown) -> Any:
    return {
        "old_version": result.old_version,
        "new_version": result.new_version,
        "differences": _describe_differences(result.differences),
    }


@describe.register
def _(result: VersionsListed) -> Any:
    return {"versions": [_describe_entry(entry) for entry in result.entries]}


@describe.register
def _(result: FleetStatus) -> Any:
    described: dict[str, Any] = {
        "members": [_describe_member(member) for member in result.view.members]
    }
    if result.wanted_version is not None:
        lacking = result.view.lacking(result.wanted_version)
        described["wanted_version"] = result.wanted_version
        described["lacking"] = [member.record.node_id for member in lacking]
        if lacking:
            described["next"] = WAIT_STEP
    return described


@describe.register
def _(result: NodeAnswer) -> Any:
    return {"node": result.address, "answer": result.value}


@describe.register
def _(result: CommandError) -> Any:
    return {
        "error": result.status.name.lower().replace("_", "-"),
        "message": result.message,
        "next": result.next_step,
    }


INVALID_STEP = "correct the patch at each fault and submit it again"
WAIT_STEP = (
    "run 'bamboonotch explain version --node NODE' for each node named, and repeat the command"
)


def _stale_step(result: RejectedStale) -> str:
    newest = result.newest_version
    target = "the newest version" if newest is None else f"version {newest}"
    return f"make the patch again on {target} and submit it under a new patch id"


def _not_accepted_step(result: NotAccepted) -> str:
    return (
        "a write still under way may yet be accepted; submit the same patch again with "
        f"--patch-id {result.patch_id} --base {result.base_version}, which is safe"
    )


def _shorten(value: Any) -> str:
    text = json.dumps(value, ensure_ascii=False, sort_keys=True)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[:MAX_SHOWN_CHARACTERS] + "..."


def _clean(text: str) -> str:
    """Replace characters that could control the terminal; other writers' text is not checked."""
    return "".join(character if character.isprintable() else "?" for character in text)


def _show_difference(difference: Difference) -> str:
    sign = SIGNS.get(difference.operation, "?")
    if difference.operation == "add":
        return f"{sign} {difference.pointer} = {_shorten(difference.new)}"
    if difference.operation == "remove":
        return f"{sign} {difference.pointer}"
    old, new = _shorten(difference.old), _shorten(difference.new)
    return f"{sign} {difference.pointer}: {old} -> {new}"


def _show_differences(differences: tuple[Difference, ...] | None) -> list[str]:
    if differences is None:
        return ["the differences could not be read"]
    return [_show_difference(item) for item in differences] or ["no differences"]


def _show_entry(entry: LogEntry) -> str:
    try:
        accepted_at = datetime.fromtimestamp(entry.accepted_at_unix_ms / 1000, UTC)
        when = accepted_at.isoformat(timespec="seconds")
    except (OverflowError, OSError, ValueError):
        when = f"{entry.accepted_at_unix_ms} ms"
    texts = (when, entry.author, entry.patch_id, entry.comment)
    return "  ".join((str(entry.version), *map(_clean, texts)))


def _show_member(member: MemberView) -> str:
    record = member.record
    start = f"{record.node_id}  {record.data_centre}  {record.service or '-'}  {record.state.value}"
    status = member.status
    if status is None:
        return f"{start}  {'dead' if member.is_dead else 'unreachable: ' + member.fault}"
    serving = "serving" if status.serving else f"not serving: {status.reason}"
    superseded = f"  refused {status.superseded_by}" if status.superseded_by else ""
    return (
        f"{start}  running {status.running_version}  held {status.held_version}{superseded}"
        f"  {serving}"
    )


@singledispatch
def render_text(result: Any) -> str:
    """Return a result as text for people.

    :param result: the result of a command.
    """
    return json.dumps(describe(result), indent=2, ensure_ascii=False)


@render_text.register
def _(result: AcceptedPatch) -> str:
    lines = [f"accepted as version {result.entry.version} (patch id {result.entry.patch_id})"]
    if result.snapshot_error:
        lines.append(f"the snapshot that was due could not be written: {result.snapshot_error}")
        lines.append("next: nothing; a relay node writes it")
    return "\n".join(lines)


@render_text.register
def _(result: RejectedStale) -> str:
    winner = result.winner
    return "\n".join(
        [
            f"rejected as stale: version {winner.version} is patch {_clean(winner.patch_id)} by "
            f"{_clean(winner.author)}",
            f"changes since version {winner.base_version}:",
            *_show_differences(result.differences),
            f"next: {_stale_step(result)}",
        ]
    )


@render_text.register
def _(result: RejectedInvalid) -> str:
    faults = [str(fault) for fault in result.faults]
    return "\n".join(["rejected as invalid:", *faults, f"next: {INVALID_STEP}"])


@render_text.register
def _(result: SubmissionUnknown) -> str:
    command = _fate_command(result.patch_id, result.base_version)
    return f"unknown whether the patch was accepted: {result.reason}\nnext: {command}"


@render_text.register
def _(result: NotAccepted) -> str:
    return f"not accepted so far\nnext: {_not_accepted_step(result)}"


@render_text.register
def _(result: DocumentShown) -> str:
    return json.dumps(result.document, indent=2, ensure_ascii=False, sort_keys=True)


@render_text.register
def _(result: DifferencesShown) -> str:
    return "\n".join(_show_differences(result.differences))


@render_text.register
def _(result: VersionsListed) -> str:
    return "\n".join(_show_entry(entry) for entry in result.entries) or "no versions so far"


@render_text.register
def _(result: FleetStatus) -> str:
    lines = [_show_member(member) for member in result.view.members]
    if result.wanted_version is not None:
        lacking = result.view.lacking(result.wanted_version)
        if lacking:
            names = ", ".join(member.record.node_id for member in lacking)
            lines.append(f"not running version {result.wanted_version}: {names}")
            lines.append(f"next: {WAIT_STEP}")
        else:
            lines.append(f"every live member runs version {result.wanted_version} or a newer one")
    return "\n".join(lines)


@render_text.register
def _(result: NodeAnswer) -> str:
    text = json.dumps(result.value, indent=2, ensure_ascii=False)
    return f"node at {result.address}:\n{text}"


@render_text.register
def _(result: CommandError) -> str:
    return f"error: {result.message}\nnext: {result.next_step}"


@singledispatch
def exit_status(result: Any) -> ExitStatus:
    """Return the exit status of a result.

    :param result: the result of a command.
    """
    del result
    return ExitStatus.SUCCESS


@exit_status.register
def _(result: RejectedStale) -> ExitStatus:
    del result
    return ExitStatus.REJECTED_STALE


@exit_status.register
def _(result: RejectedInvalid) -> ExitStatus:
    del result
    return ExitStatus.REJECTED_INVALID


@exit_status.register
def _(result: SubmissionUnknown) -> ExitStatus:
    del result
    return ExitStatus.UNKNOWN


@exit_status.register
def _(result: NotAccepted) -> ExitStatus:
    del result
    return ExitStatus.NOT_FOUND


@exit_status.register
def _(result: FleetStatus) -> ExitStatus:
    wanted = result.wanted_version
    if wanted is not None and result.view.lacking(wanted):
        return ExitStatus.WAIT_TIMED_OUT
    return ExitStatus.SUCCESS


@exit_status.register
def _(result: CommandError) -> ExitStatus:
    return result.status
