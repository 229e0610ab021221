"""The versioned configuration: tickets, documents and their distribution."""

from .. import exports

__getattr__ = exports.lazy(
    __name__,
    {
        '.follower': ('Follower',),
        '.ticket': (
            'AppliedTicket',
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
    'AppliedTicket',
    'Follower',
    'PackingCheck',
    'Ticket',
    'TicketDone',
    'Writer',
)
