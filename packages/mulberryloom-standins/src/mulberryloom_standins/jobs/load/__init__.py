"""Benchmark of the job planner under the load patterns of the deployments.

It needs no network: jobs arrive by a seeded pattern, runs take their drawn
durations, and each job is credited by the time of its completion.
"""

from .patterns import ALL_PATTERNS
from .patterns import Arrival
from .patterns import JobClass
from .patterns import Pattern
from .trial import Credit
from .trial import Trial

__all__ = [
    'ALL_PATTERNS',
    'Arrival',
    'Credit',
    'JobClass',
    'Pattern',
    'Trial',
]
