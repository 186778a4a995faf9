"""Tests of the store adapter, on the asyncio reactor as in the node."""

import sys

from twisted.internet import asyncioreactor

if "twisted.internet.reactor" not in sys.modules:
    asyncioreactor.install()
