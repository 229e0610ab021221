"""Run time estimates: declared run times, corrected by past runs.

The correction is a quantile of the ratios of actual to declared run time.
"""

import collections
import math

# Quantile of the ratios by which declared run times are multiplied.
QUANTILE = 0.75
BUCKETS_PER_DOUBLING = 4
# Weight, in runs, of the assumption that declared run times are right.
PRIOR_WEIGHT = 2.0
# Factor on the weights of earlier runs with each new run.
DECAY = 0.98
# Ratios below 1/64 and above 64 count as these limits.
MIN_BUCKET = -6 * BUCKETS_PER_DOUBLING
MAX_BUCKET = 6 * BUCKETS_PER_DOUBLING
# Keys with a histogram, at most; the key added first is dropped.
MAX_KEYS = 4_096

# Service, method and account.
Key = tuple[str, str, str]


class RatioHistogram:
    """Decaying histogram of the ratio of actual to declared run time.

    Buckets are logarithmic, four per doubling of the ratio. A prior
    weight at ratio 1 limits the effect of the first runs.
    """

    __slots__ = ('_total_weight', '_weight_by_bucket')

    def __init__(self) -> None:
        self._total_weight = PRIOR_WEIGHT
        self._weight_by_bucket: dict[int, float] = {0: PRIOR_WEIGHT}

    def add(self, ratio: float) -> None:
        """Add the ratio of one run and decay all earlier ones."""
        for bucket in self._weight_by_bucket:
            self._weight_by_bucket[bucket] *= DECAY
        bucket = round(math.log2(ratio) * BUCKETS_PER_DOUBLING)
        bucket = min(max(bucket, MIN_BUCKET), MAX_BUCKET)
        before = self._weight_by_bucket.get(bucket, 0.0)
        self._weight_by_bucket[bucket] = before + 1.0
        self._total_weight = sum(self._weight_by_bucket.values())

    def quantile(self, share: float) -> float:
        """Return a quantile of the ratios.

        :param share: between 0 and 1.
        """
        remaining = share * self._total_weight
        for bucket in sorted(self._weight_by_bucket):
            remaining -= self._weight_by_bucket[bucket]
            if remaining <= 0:
                break
        return 2.0 ** (bucket / BUCKETS_PER_DOUBLING)


class Estimates:
    """Correction of run times by service, method and account."""

    __slots__ = ('_histogram_by_key', '_ratio_by_key')

    def __init__(self) -> None:
        self._histogram_by_key: collections.OrderedDict[
            Key, RatioHistogram
        ] = collections.OrderedDict()
        self._ratio_by_key: dict[Key, float] = {}

    def observe(self, key: Key, declared_ms: int, actual_ms: int) -> None:
        """Add a finished run to the histogram of its key."""
        histogram = self._histogram_by_key.get(key)
        if histogram is None:
            histogram = RatioHistogram()
            self._histogram_by_key[key] = histogram
            self._evict()
        histogram.add(max(actual_ms, 1) / max(declared_ms, 1))
        self._ratio_by_key[key] = histogram.quantile(QUANTILE)

    def run_ms(self, key: Key, declared_ms: int) -> int:
        """Return the estimate for a declared run time, at least 1 ms."""
        return max(int(declared_ms * self._ratio_by_key.get(key, 1.0)), 1)

    def _evict(self) -> None:
        if len(self._histogram_by_key) > MAX_KEYS:
            oldest, _ = self._histogram_by_key.popitem(last=False)
            self._ratio_by_key.pop(oldest, None)
