"""Dominant resource shares of the client accounts.

The account with the lowest weighted share is served first.
"""

from mulberryloom_core import shapes


def dominant_share(
    used: shapes.Resources, capacity: shapes.Resources, weight: int
) -> float:
    """Return the largest share of any resource, divided by the weight."""
    shares = (
        used.slots / max(capacity.slots, 1),
        used.accelerators / max(capacity.accelerators, 1),
        used.processors / max(capacity.processors, 1),
        used.memory_mb / max(capacity.memory_mb, 1),
    )
    return max(shares) / max(weight, 1)
