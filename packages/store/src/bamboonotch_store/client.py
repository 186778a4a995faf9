"""Client of the platform's key-value service.

This package is the only place that knows the service's protocol, which is the HTTP API of
Consul's key-value store and sessions. Interface::

    StoreClient(settings: StoreSettings, tenant: str, reactor, on_call=None)

Keys are relative to ``bamboonotch/<tenant>/``, for example ``log/000000000001``. Methods return
Deferreds; await them in a coroutine run by ``Deferred.fromCoroutine``, or convert them with
``Deferred.asFuture`` in an asyncio task. Every method ends by the deadline of the settings and
raises

* ``StoreUnavailableError`` when no answer came in time or the connection was lost; a write may
  then have taken effect or may still do so;
* ``StoreValueError`` when the store's answer or value is malformed;
* ``StoreRefusedError`` when the store refuses the call as wrong.

``on_call`` is called with a :class:`StoreCall` at the end of each call.
"""

from bamboonotch_store._client import StoreClient
from bamboonotch_store._types import (
    CallKind,
    CallResult,
    KeyRead,
    OnCall,
    StoreCall,
    StoredEntry,
    classify_error,
)

__all__ = [
    "CallKind",
    "CallResult",
    "KeyRead",
    "OnCall",
    "StoreCall",
    "StoreClient",
    "StoredEntry",
    "classify_error",
]
