"""Scheduling of jobs with steps: order, placement and preemption."""

from . import health
from . import valuation
from .capacity import ActiveRun
from .capacity import WorkerCapacity
from .options import PlanOptions
from .planner import JobPlanner
from .planner import Plan

__all__ = [
    'ActiveRun',
    'JobPlanner',
    'Plan',
    'PlanOptions',
    'WorkerCapacity',
    'health',
    'valuation',
]
