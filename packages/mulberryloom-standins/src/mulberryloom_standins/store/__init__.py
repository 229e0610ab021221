"""Stand-in for the platform's key-value store."""

from .core import StoreCore
from .faults import Faults
from .state import KeyValueState

__all__ = ['Faults', 'KeyValueState', 'StoreCore']
