"""Builds the components of one entry and their dependencies."""

import random

from mulberryloom_core import effects as core_effects
from mulberryloom_core import messages
from mulberryloom_core.version import configuration as configurations

from . import burn
from . import circuit
from . import claims
from . import context as contexts
from . import journal
from . import membership
from . import outbox
from ..request import attempts
from ..request import budget
from ..request import router
from . import shards


def build_context(
    entry_info: messages.EntryInfo,
    source: random.Random,
    configuration: configurations.Configuration,
    call_ids: core_effects.CallIds,
) -> contexts.Context:
    """Build the components of an entry without any known peers.

    :param source: source of random numbers.
    :param call_ids: source of the ids of the process's store calls.
    """
    entry_outbox = outbox.Outbox(call_ids)
    membership_view = membership.Membership.from_identity(entry_info)
    circuits = circuit.Circuits(source)
    in_flight = router.InFlightResources()
    budgets = budget.RetryBudgets()
    entry_claims = claims.Claims(
        entry_info.name, entry_info.incarnation, membership_view, entry_outbox
    )
    return contexts.Context(
        name=entry_info.name,
        incarnation=entry_info.incarnation,
        random=source,
        outbox=entry_outbox,
        membership=membership_view,
        shards=shards.Shards.from_identity(entry_info.name, call_ids),
        circuits=circuits,
        budgets=budgets,
        in_flight=in_flight,
        router=router.Router(membership_view, circuits, in_flight, source),
        claims=entry_claims,
        attempts=attempts.Attempts(
            membership_view,
            entry_claims,
            in_flight,
            budgets,
            entry_outbox,
            source,
        ),
        journal=journal.Journal(entry_outbox),
        burn=burn.BurnRateTracker(entry_info),
        configuration=configuration,
    )
