"""Fair division of slots among the workspaces of one rank: start-time fair queueing.

Each workspace has a tag in virtual time. An attempt that starts moves the tag of its workspace
forward by its service time; the workspace with the lowest tag starts next. Virtual time follows the
tags of started attempts, and a workspace that begins to wait starts from there, so idle time earns
no credit.

Requests without a workspace are mostly calls that backend servers make on behalf of all workspaces.
As one workspace among many they would get hardly any slots, so the slots are divided twice: evenly
between requests without and with a workspace, and the latter among workspaces.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from bamboonotch_core.replace import replace_fields

__all__ = [
    "RankShare",
    "WorkspaceShare",
    "add_waiting",
    "charge_start",
    "group_tag_ms",
    "others_waiting",
    "remove_waiting",
    "settle",
    "start_tag_ms",
]

# Workspaces without waiting work whose tags are kept. A tag is ahead of virtual time by about one
# service time at most, so a forgotten one gives its workspace one early start.
MAX_IDLE_WORKSPACES = 256


@dataclass(frozen=True)
class WorkspaceShare:
    """A workspace at one rank.

    :param tag_ms: virtual time at which its next attempt starts, in milliseconds.
    :param waiting: number of its queued attempts.
    """

    tag_ms: float = 0.0
    waiting: int = 0


@dataclass(frozen=True)
class RankShare:
    """The workspaces of one rank.

    :param virtual_ms: virtual time among workspaces: the highest tag of a started attempt, in
        milliseconds.
    :param shares: workspaces with queued or recent attempts, by name.
    :param waiting_workspaces: number of workspaces with queued attempts.
    :param group_virtual_ms: virtual time between requests without and with a workspace, in
        milliseconds.
    :param group_tags_ms: tags of these two groups.
    """

    virtual_ms: float = 0.0
    shares: Map[str, WorkspaceShare] = field(default_factory=Map)
    waiting_workspaces: int = 0
    group_virtual_ms: float = 0.0
    group_tags_ms: tuple[float, float] = (0.0, 0.0)


def start_tag_ms(rank: RankShare, workspace: str) -> float:
    """Return the virtual time at which the next attempt of a workspace starts, in milliseconds.

    :param workspace: name of the workspace; requests without one are served in order of arrival.
    """
    if not workspace:
        return 0.0
    share = rank.shares.get(workspace)
    if share is None:
        return rank.virtual_ms
    return share.tag_ms if share.waiting else max(rank.virtual_ms, share.tag_ms)


def group_tag_ms(rank: RankShare, has_workspace: bool) -> float:
    """Return the virtual time at which the next attempt of a group starts, in milliseconds.

    :param has_workspace: whether the group is that of requests with a workspace.
    """
    return max(rank.group_virtual_ms, rank.group_tags_ms[has_workspace])


def others_waiting(rank: RankShare, workspace: str) -> int:
    """Return the number of other workspaces that have queued attempts."""
    share = rank.shares.get(workspace)
    return rank.waiting_workspaces - (share is not None and share.waiting > 0)


def add_waiting(rank: RankShare, workspace: str) -> RankShare:
    """Record that an attempt of a workspace was queued."""
    if not workspace:
        return rank
    waiting = rank.shares.get(workspace, WorkspaceShare()).waiting
    share = WorkspaceShare(start_tag_ms(rank, workspace), waiting + 1)
    return replace_fields(
        rank,
        shares=rank.shares.set(workspace, share),
        waiting_workspaces=rank.waiting_workspaces + (not waiting),
    )


def remove_waiting(rank: RankShare, workspace: str) -> RankShare:
    """Record that an attempt of a workspace left the queue."""
    if not workspace:
        return rank
    share = rank.shares[workspace]
    share = WorkspaceShare(share.tag_ms, share.waiting - 1)
    return replace_fields(
        rank,
        shares=rank.shares.set(workspace, share),
        waiting_workspaces=rank.waiting_workspaces - (not share.waiting),
    )


def _with_group_tag(rank: RankShare, has_workspace: bool, tag_ms: float) -> RankShare:
    without_ms, with_ms = rank.group_tags_ms
    tags_ms = (without_ms, tag_ms) if has_workspace else (tag_ms, with_ms)
    return replace_fields(rank, group_tags_ms=tags_ms)


def charge_start(rank: RankShare, workspace: str, service_ms: float) -> RankShare:
    """Charge an attempt that starts to its workspace.

    :param service_ms: expected service time of the attempt, in milliseconds.
    """
    group_ms = group_tag_ms(rank, bool(workspace))
    rank = _with_group_tag(rank, bool(workspace), group_ms + service_ms)
    rank = replace_fields(rank, group_virtual_ms=group_ms)
    if not workspace:
        return rank
    start_ms = start_tag_ms(rank, workspace)
    waiting = rank.shares.get(workspace, WorkspaceShare()).waiting
    shares = rank.shares.set(workspace, WorkspaceShare(start_ms + service_ms, waiting))
    virtual_ms = max(rank.virtual_ms, start_ms)
    return _forget_idle(replace_fields(rank, virtual_ms=virtual_ms, shares=shares))


def settle(rank: RankShare, workspace: str, charged_ms: float, used_ms: float) -> RankShare:
    """Replace the expected service time of an attempt that ended by the measured one.

    :param charged_ms: what was charged when the attempt started, in milliseconds.
    :param used_ms: how long the attempt held a slot at the backend server, in milliseconds.
    """
    change_ms = used_ms - charged_ms
    group_ms = rank.group_tags_ms[bool(workspace)] + change_ms
    rank = _with_group_tag(rank, bool(workspace), group_ms)
    share = rank.shares.get(workspace)
    if share is None:
        return rank
    tag_ms = max(rank.virtual_ms, share.tag_ms + change_ms)
    share = WorkspaceShare(tag_ms, share.waiting)
    return replace_fields(rank, shares=rank.shares.set(workspace, share))


def _forget_idle(rank: RankShare) -> RankShare:
    """Forget the tags of workspaces that do not wait, when there are too many."""
    if len(rank.shares) <= rank.waiting_workspaces + MAX_IDLE_WORKSPACES:
        return rank
    kept = Map({name: share for name, share in rank.shares.items() if share.waiting})
    return replace_fields(rank, shares=kept)
