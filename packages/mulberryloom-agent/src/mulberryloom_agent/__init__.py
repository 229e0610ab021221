"""Agent process that runs beside each backend server."""

from .effects import BackendAnnounced
from .effects import BackendAnswer
from .effects import BackendAnswered
from .effects import BackendHeartbeat
from .effects import BackendLeft
from .effects import CallBackend
from .effects import Checkpoint
from .effects import CheckpointDone
from .effects import ConnectEntry
from .effects import DisconnectEntry
from .effects import Drained
from .effects import Input
from .effects import Output
from .effects import RenewTaskLease
from .effects import StopRequested
from .effects import StopTask
from .effects import TaskStopped
from .effects import TaskUsage
from .effects import Throttle
from .effects import UsageReported
from .process.core import AgentCore
from .process.runner import AgentProcess
from .process.settings import AgentSettings

__all__ = [
    'AgentCore',
    'AgentProcess',
    'AgentSettings',
    'BackendAnnounced',
    'BackendAnswer',
    'BackendAnswered',
    'BackendHeartbeat',
    'BackendLeft',
    'CallBackend',
    'Checkpoint',
    'CheckpointDone',
    'ConnectEntry',
    'DisconnectEntry',
    'Drained',
    'Input',
    'Output',
    'RenewTaskLease',
    'StopRequested',
    'StopTask',
    'TaskStopped',
    'TaskUsage',
    'Throttle',
    'UsageReported',
]
