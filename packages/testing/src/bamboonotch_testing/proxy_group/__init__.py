"""Many fault proxies in one process, chosen by labels.

``python -m bamboonotch_testing.proxy_group --specification FILE --control ADDRESS`` reads a JSON
list of objects with the fields of :class:`ProxyPlan`. ``GET /`` on the control address returns the
counters of every proxy. ``POST /`` takes a JSON object with labels (``source``, ``target``,
``target_region``; an absent one matches all) and a ``fault``: ``cut`` (break connections),
``freeze`` (existing connections go silent, new ones work), ``refuse`` (take no connections),
``partition`` (refuse and cut), ``delay`` with ``delay_ms`` each way, or ``clear``.
"""

from bamboonotch_testing.proxy_group._group import ProxyGroup, ProxyPlan
from bamboonotch_testing.proxy_group._site import make_control_site

__all__ = ["ProxyGroup", "ProxyPlan", "make_control_site"]
