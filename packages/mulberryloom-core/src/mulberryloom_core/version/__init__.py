"""The versioned configuration: tickets, documents and their distribution."""

from .. import exports

__getattr__ = exports.lazy(
    __name__,
    {
        '.follower': ('Follower',),
        '.ticket': (
            'Applied',
            'PackingCheck',
            'Ticket',
        ),
        '.writer': (
            'TicketDone',
            'Writer',
        ),
    },
)

__all__ = (
    'Applied',
    'Follower',
    'PackingCheck',
    'Ticket',
    'TicketDone',
    'Writer',
)
