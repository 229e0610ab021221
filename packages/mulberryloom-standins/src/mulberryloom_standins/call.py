"""Command of the caller stand-in: ``python -m mulberryloom_standins.call``."""

import asyncio
import json
import sys

import defopt

from mulberryloom_core.identity import Address

from . import caller
from . import targets


def main(
    *,
    entry: str,
    token: str,
    service: str,
    method: str,
    count: int = 100,
    concurrency: int = 4,
    rate_per_s: float = 0.0,
    run_ms: int = 20,
    answer_bytes: int = 64,
    demand: str = '',
    seed: int = 0,
) -> None:
    """Call one method many times and print a report as JSON.

    Exits with 1 if an answer was not the complete answer to its request.

    :param entry: ``host:port`` of the callers' listener.
    :param token: bearer token of the client account.
    :param service: name of the service.
    :param method: name of the method.
    :param count: total number of requests.
    :param concurrency: number of senders of the closed loop.
    :param rate_per_s: arrival rate of an open loop; ``0`` for a closed loop.
    :param run_ms: duration of each run on the backend server.
    :param answer_bytes: length of the filler in each answer.
    :param demand: value of the header ``Mulberryloom-Demand``.
    :param seed: seed for the arrival times.
    """

    def make_request_spec() -> targets.RequestSpec:
        order = caller.new_order(run_ms=run_ms, answer_bytes=answer_bytes)
        return targets.RequestSpec(service, method, order, demand)

    async def run() -> caller.CallerReport:
        sender = caller.Caller.from_token(
            [Address.from_text(entry)], token, seed
        )
        try:
            if rate_per_s:
                return await sender.open_loop(
                    make_request_spec, rate_per_s, count=count
                )
            return await sender.closed_loop(
                make_request_spec, count, concurrency
            )
        finally:
            await sender.close()

    report = asyncio.run(run())
    print(json.dumps(report.summary(), indent=2))
    sys.exit(1 if report.faults else 0)


if __name__ == '__main__':
    defopt.run(main)
