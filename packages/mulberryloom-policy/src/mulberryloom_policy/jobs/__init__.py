"""Scheduling of jobs with steps: order, placement and preemption."""

from . import health
from . import worth
from .options import PlanOptions
from .planner import JobPlanner
from .planner import Plan
from .room import ActiveRun
from .room import WorkerRoom

__all__ = [
    'ActiveRun',
    'JobPlanner',
    'Plan',
    'PlanOptions',
    'WorkerRoom',
    'health',
    'worth',
]
