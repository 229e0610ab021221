"""Sessions between processes, and HTTP over single connections."""

from .node import Node
from .options import NodeCounters
from .options import SessionOptions

__all__ = ('Node', 'NodeCounters', 'SessionOptions')
