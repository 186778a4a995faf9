"""Command line of the stand-in."""

from __future__ import annotations

import argparse

from twisted.internet import reactor

from bamboonotch_testing.store_server._server import StoreServer

__all__ = ["main"]


def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser(prog="python -m bamboonotch_testing.store_server")
    parser.add_argument("--listen", required=True, metavar="IP:PORT", help="port 0 for a free one")
    options = parser.parse_args()
    host, separator, port = options.listen.rpartition(":")
    if not separator or not port.isdigit() or int(port) > 65535:
        parser.error(f"--listen {options.listen!r}: must be IP:PORT with a port from 0 to 65535")
    with StoreServer(reactor) as server:
        address = server.listen(host, int(port))
        print(f"listening on {address}", flush=True)
        reactor.run()  # type: ignore[attr-defined]


if __name__ == "__main__":
    main()
