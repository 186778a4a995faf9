"""Recent response times of the requests of one class at one service.

The times are counted in a histogram whose buckets grow by a constant factor. Two generations of
samples are kept, and the older one is dropped when the newer one is complete. The estimate
therefore follows changes of the load, and its state is bounded by the number of buckets.

A request that is answered by its copy has no response time of its own. The time until then is
recorded instead. It is above the quantile, and how far above does not change a quantile, so copies
do not lower the estimate that decides when they are sent.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from immutables import Map

from bamboonotch_core.replace import replace_fields

__all__ = ["HEDGE_QUANTILE", "ResponseTimes", "record_response_time"]

# Share of the requests that are answered before a copy of them would be due. With one slow request
# in 100, a quantile of 0.99 falls between the slow requests and the others, and at 0.95 five in 100
# would be due, most of which are about to be answered.
HEDGE_QUANTILE = 0.98
# Below this many samples fewer than two lie above the quantile, and one outlier decides.
MIN_SAMPLES = 100
GENERATION_SAMPLES = 500
GENERATION_MS = 30_000.0  # a generation of a busy class ends by samples, of a quiet one by time
SAMPLES_PER_ESTIMATE = 16
BUCKET_FACTOR = 1.05  # largest relative error of the estimate
MAX_BUCKET = 255  # about 260 s
LOG_BUCKET_FACTOR = math.log(BUCKET_FACTOR)


@dataclass(frozen=True)
class ResponseTimes:
    """Counts of recent response times, by bucket.

    :param counts: samples of the generation in progress, by bucket.
    :param samples: number of them.
    :param started_ms: when that generation began, on the monotonic clock in milliseconds.
    :param previous_counts: samples of the generation before it.
    :param previous_samples: number of them.
    :param slow_ms: the quantile, in milliseconds; infinity while there are too few samples.
    """

    started_ms: float
    counts: Map[int, int] = Map()
    samples: int = 0
    previous_counts: Map[int, int] = Map()
    previous_samples: int = 0
    slow_ms: float = math.inf


def _bucket_of(response_ms: float) -> int:
    return min(MAX_BUCKET, int(math.log(max(1.0, response_ms)) / LOG_BUCKET_FACTOR))


def _quantile_ms(times: ResponseTimes) -> float:
    """Return the upper end of the bucket that contains the quantile, in milliseconds."""
    samples = times.samples + times.previous_samples
    if samples < MIN_SAMPLES:
        return math.inf
    allowed_above = samples * (1.0 - HEDGE_QUANTILE)
    above = 0
    buckets = {*times.counts, *times.previous_counts}
    for bucket in sorted(buckets, reverse=True):
        above += times.counts.get(bucket, 0) + times.previous_counts.get(bucket, 0)
        if above > allowed_above:
            return BUCKET_FACTOR ** (bucket + 1)
    return math.inf


def record_response_time(
    times: ResponseTimes | None, response_ms: float, now_ms: float
) -> ResponseTimes:
    """Record the response time of one more request.

    :param times: times so far, or ``None`` before the first.
    :param response_ms: time from the first attempt to the head of the response, in milliseconds.
    :param now_ms: monotonic clock, in milliseconds.
    """
    times = times or ResponseTimes(now_ms)
    is_old = now_ms - times.started_ms >= GENERATION_MS and times.samples >= MIN_SAMPLES
    if is_old or times.samples >= GENERATION_SAMPLES:
        times = ResponseTimes(
            now_ms,
            previous_counts=times.counts,
            previous_samples=times.samples,
            slow_ms=times.slow_ms,
        )
    bucket = _bucket_of(response_ms)
    samples = times.samples + 1
    times = replace_fields(
        times, counts=times.counts.set(bucket, times.counts.get(bucket, 0) + 1), samples=samples
    )
    if samples % SAMPLES_PER_ESTIMATE and math.isfinite(times.slow_ms):
        return times
    return replace_fields(times, slow_ms=_quantile_ms(times))
