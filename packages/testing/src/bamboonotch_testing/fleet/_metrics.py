"""Reads metrics of nodes in the Prometheus text format."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from bamboonotch_testing.fleet._http import call_http

__all__ = ["Sample", "read_metrics", "sum_by_label"]

SAMPLE_PATTERN = re.compile(r"^(?P<name>[a-z_]+)(?:\{(?P<labels>[^}]*)\})? (?P<value>\S+)$")
LABEL_PATTERN = re.compile(r'([a-z_]+)="([^"]*)"')


@dataclass(frozen=True)
class Sample:
    """One sample.

    :param name: name of the metric.
    :param labels: its labels.
    :param value: its value.
    """

    name: str
    labels: dict[str, str]
    value: float


def read_metrics(admin_address: str) -> list[Sample]:
    """Read all metrics of a node.

    :param admin_address: ``ip:port`` of its admin interface.
    :raises OSError: when the node does not answer.
    """
    text = call_http(admin_address, "GET", "/metrics").body.decode()
    samples = []
    for line in text.splitlines():
        match = SAMPLE_PATTERN.match(line)
        if match is not None:
            labels = dict(LABEL_PATTERN.findall(match["labels"] or ""))
            samples.append(Sample(match["name"], labels, float(match["value"])))
    return samples


def sum_by_label(
    samples: Iterable[Sample], name: str, *labels: str
) -> dict[tuple[str, ...], float]:
    """Add up the samples of one metric by the values of some labels.

    :param samples: samples of any number of nodes.
    :param name: name of the metric.
    :param labels: names of the labels.
    """
    sums: dict[tuple[str, ...], float] = {}
    for sample in samples:
        if sample.name == name:
            key = tuple(sample.labels.get(label, "") for label in labels)
            sums[key] = sums.get(key, 0.0) + sample.value
    return sums
