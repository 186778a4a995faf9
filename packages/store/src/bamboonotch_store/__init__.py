"""Adapter for the platform's key-value service.

* :mod:`bamboonotch_store.client`: calls to the service; the only module that knows its protocol.
* :mod:`bamboonotch_store.http`: HTTP exchanges with deadlines; the operators' command uses it too.
* :mod:`bamboonotch_store.log`: accepted versions and snapshots.
* :mod:`bamboonotch_store.acceptance`: submission and fate of patches.
* :mod:`bamboonotch_store.slots`: relay slots.
* :mod:`bamboonotch_store.claims`: claims of idempotency keys.

Asynchronous methods of all but the client are coroutines that await Deferreds. Run them with
``Deferred.fromCoroutine``; in an asyncio task, await ``Deferred.asFuture`` of that.
"""
