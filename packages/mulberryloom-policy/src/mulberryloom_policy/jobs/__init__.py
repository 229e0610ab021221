"""Scheduling of jobs with steps: order, placement and preemption.

A job here has steps, each of one or more tasks, as in
``mulberryloom_core.request.jobs``. In the rest of the package, a job is a
single request, see ``decisions.Job``.
"""

from . import crashes
from . import health
from . import valuation
from .capacity import ActiveRun
from .capacity import WorkerCapacity
from .failure_attribution import FailureAttribution
from .options import PlanOptions
from .plan import Plan
from .planner import JobPlanner
from .worker_speed import WorkerSpeeds

__all__ = [
    'ActiveRun',
    'FailureAttribution',
    'JobPlanner',
    'Plan',
    'PlanOptions',
    'WorkerCapacity',
    'WorkerSpeeds',
    'crashes',
    'health',
    'valuation',
]
