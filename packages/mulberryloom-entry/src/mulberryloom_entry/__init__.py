"""Entry process and operators' commands of mulberryloom."""

from mulberryloom_core import exports

__getattr__ = exports.lazy(
    __name__,
    {
        '.effects': (
            'Accepted',
            'Answer',
            'CallerDisconnected',
            'CancelAccepted',
            'CancelRequested',
            'Drained',
            'Effect',
            'Input',
            'OutcomeRequested',
            'Pending',
            'Reply',
            'RequestSubmitted',
            'StopRequested',
            'TicketAccepted',
            'TicketSubmitted',
            'WallTime',
        ),
        '.process.core': ('EntryCore',),
        '.process.runner': ('EntryProcess',),
        '.process.settings': ('EntrySettings',),
    },
)

__all__ = [
    'Accepted',
    'Answer',
    'CallerDisconnected',
    'CancelAccepted',
    'CancelRequested',
    'Drained',
    'Effect',
    'EntryCore',
    'EntryProcess',
    'EntrySettings',
    'Input',
    'OutcomeRequested',
    'Pending',
    'Reply',
    'RequestSubmitted',
    'StopRequested',
    'TicketAccepted',
    'TicketSubmitted',
    'WallTime',
]
