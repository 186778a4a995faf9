"""In-memory stand-in for the platform's store, with faults for tests.

Run it with ``python -m bamboonotch_testing.store_server --listen 127.0.0.1:PORT``; it prints
``listening on ADDRESS`` once it takes connections. Port 0 takes a free port.

It serves the published HTTP API of Consul's key-value store and sessions, as far as section 3.1 of
the design page names it: ``GET``, ``PUT`` and ``DELETE`` of ``/v1/kv/KEY`` with ``raw``, ``cas``,
``acquire``, ``release``, ``recurse``, ``keys``, ``separator``, ``index`` and ``wait``, and ``PUT``
of ``/v1/session/create``, ``/v1/session/renew/ID`` and ``/v1/session/destroy/ID``.

Control, which no fault touches:

* ``GET /control/calls``: JSON object ``{"calls": {kind: count}, "total": count,
  "waiting_watches": count}``. A waiting watch counts as one call.
* ``GET /control/fault``: the faults in force; the fields are those of :class:`Faults`.
* ``POST /control/fault``: JSON object with the fields to change; ``{"clear": true}`` first sets all
  back. The answer is as of ``GET``.
"""

from bamboonotch_testing.store_server._data import Selection, StoreData
from bamboonotch_testing.store_server._faults import Faults, RefusalMode
from bamboonotch_testing.store_server._server import StoreServer

__all__ = ["Faults", "RefusalMode", "Selection", "StoreData", "StoreServer"]
