"""Signals that arrive before a starting node can handle them.

A module of its own that imports nothing else, because the imports of a node take a good part of its
start.
"""

import signal

__all__ = ["hold_reload", "release_reload"]


def hold_reload() -> None:
    """Keep a SIGHUP pending, which would end a process that has no handler for it yet."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def release_reload() -> None:
    """Deliver a SIGHUP that was kept, and later ones at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
