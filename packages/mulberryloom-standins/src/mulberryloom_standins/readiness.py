"""Waits until the entries of a trial know all of its workers."""

import asyncio
import json

from mulberryloom_core import clock as clock_module
from mulberryloom_core.connection import http_types
from mulberryloom_core.identity import Address
from result import Result

from . import deployments
from . import operators

_POLL_INTERVAL_MS = 50
_MS_PER_S = 1_000


async def wait_for_workers(
    entries: list[Address], workers: list[str], timeout_ms: int
) -> None:
    """Wait until every entry lists exactly these workers as healthy.

    :param entries: addresses of the operators' HTTP interface.
    :param workers: names of the workers.
    :param timeout_ms: for all entries together.
    :raises TimeoutError: with the workers that an entry lists instead.
    """
    operator = operators.OperatorClient.from_token(
        deployments.token_of('operator')
    )
    clock = clock_module.SystemClock()
    deadline_ms = clock.now_ms() + timeout_ms
    for entry in entries:
        while True:
            status = await operator.status(entry)
            healthy = healthy_workers(status)
            if healthy == set(workers):
                break
            if clock.now_ms() > deadline_ms:
                raise TimeoutError(
                    f'{entry} lists {healthy} as healthy, expected '
                    f'{set(workers)}; its status: {status}'
                )
            await asyncio.sleep(_POLL_INTERVAL_MS / _MS_PER_S)
    await operator.close()


def healthy_workers(status: Result) -> set[str]:
    """Return the healthy workers that an answer to ``/v1/status`` lists."""
    if status.is_err() or status.ok_value.status != 200:
        return set()
    response: http_types.HttpResponse = status.ok_value
    return {
        worker['name']
        for worker in json.loads(response.body)['workers']
        if worker['health'] == 'healthy'
    }
