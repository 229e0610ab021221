"""Steps that apply tickets and check the versions in force."""

import asyncio
import json

from behave import then
from behave import when

from mulberryloom_standins import deployments
from mulberryloom_standins import operators


@when(
    'two operators race with tickets {low:d} and {high:d} at different entries'
)
def when_tickets_race(context, low, high):
    trial = context.trial
    context.response_by_number = trial.run(
        _apply_concurrently(trial, low, high)
    )


@when('the store goes down as soon as ticket {number:d} is accepted')
def when_store_down_after(context, number):
    context.trial.cluster.set_store_faults(outage=True)
    assert context.response_by_number[number].status < 300, (
        context.response_by_number
    )
    other_responses = [
        r for n, r in context.response_by_number.items() if n != number
    ]
    assert all(r.status in (200, 201, 202, 409) for r in other_responses), (
        other_responses
    )


@then('ticket {number:d} is in force at every process within {seconds:d} s')
def then_ticket_in_force(context, number, seconds):
    trial = context.trial
    process_names = {entry.name for entry in trial.cluster.plan.entries}
    process_names |= {
        agent.location.worker for agent in trial.cluster.plan.agents
    }

    def is_in_force_everywhere():
        ticket_state = trial.run(_show_ticket(trial, number))
        return ticket_state.get('is_everywhere') and process_names <= set(
            ticket_state['version_by_process']
        )

    trial.wait_for(
        is_in_force_everywhere,
        seconds,
        f'ticket {number} is in force at {sorted(process_names)}',
    )
    context.ticket_state = trial.run(_show_ticket(trial, number))


@then('no entry answers for an older version')
def then_no_older_version(context):
    trial = context.trial
    newest = max(context.ticket_state['version_by_process'].values())
    for entry in trial.cluster.plan.entries:
        status = trial.run(_fetch_status(entry.operators_address))
        assert status['config_version'] >= newest, status


@then('the second entry is at the newest version within {seconds:d} s')
def then_second_entry_newest(context, seconds):
    trial = context.trial
    first, second = trial.cluster.plan.entries
    newest = trial.run(_fetch_status(first.operators_address))[
        'config_version'
    ]
    assert newest > 0

    def is_newest():
        status = trial.run(_fetch_status(second.operators_address))
        return status.get('config_version') == newest

    trial.wait_for(
        is_newest, seconds, f'the second entry is at version {newest}'
    )


async def _apply_concurrently(trial, low, high):
    """Apply two tickets for the same account concurrently.

    :return: the responses by number of the ticket.
    """
    tickets = [
        _account_ticket(trial, number, weight=number) for number in (low, high)
    ]
    token = deployments.token_of('operator')
    clients = [operators.OperatorClient.from_token(token) for _ in tickets]
    entries = [entry.operators_address for entry in trial.cluster.plan.entries]
    answers = await asyncio.gather(
        *(
            client.apply(entry, ticket)
            for client, entry, ticket in zip(
                clients, entries, tickets, strict=True
            )
        )
    )
    for client in clients:
        await client.close()
    responses = [answer.unwrap() for answer in answers]
    return dict(zip((low, high), responses, strict=True))


def _account_ticket(trial, number, weight):
    """Return a ticket that changes the weight of the first account."""
    name = trial.deployment.accounts[0]
    account = trial.deployment.ticket['accounts'][name]
    changed = {**account, 'weight': weight}
    return {'number': number, 'accounts': {name: changed}}


async def _show_ticket(trial, number):
    """Return where a ticket is in force, as the first entry reports it."""
    token = deployments.token_of('operator')
    client = operators.OperatorClient.from_token(token)
    entry = trial.cluster.plan.entries[0].operators_address
    answer = await client.ticket_status(entry, number)
    await client.close()
    return json.loads(answer.unwrap().body)


async def _fetch_status(address):
    """Return the status of the fleet as one entry reports it."""
    token = deployments.token_of('operator')
    client = operators.OperatorClient.from_token(token)
    answer = await client.status(address)
    await client.close()
    return json.loads(answer.unwrap().body)
