"""Executes the core's outputs about tasks, one asyncio task for each."""

import asyncio
import typing as t

from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_types
from mulberryloom_core import exceptions
from mulberryloom_core import identity
from result import Err
from result import Ok

from .. import effects
from ..process import control as controls
from ..process import ledger

# Time for the backend server to answer the call of a stopped task.
STOPPED_CALL_TIMEOUT_MS = 500


class Execution:
    """Calls to the backend server and to the worker control.

    :param control: the platform's control over running tasks.
    :param connections: maximum of open connections to the backend server.
    :param put_input: enqueues an input for the core.
    """

    __slots__ = (
        '_address',
        '_calls_by_key',
        '_client',
        '_control',
        '_put_input',
        '_stopping_keys',
        '_tasks',
    )

    def __init__(
        self,
        control: controls.WorkerControl,
        connections: int,
        put_input: t.Callable[[effects.Input], None],
    ) -> None:
        limits = http_client.ClientLimits(max_connections=connections)
        self._client = http_client.HttpClient.from_limits(limits)
        self._control = control
        self._put_input = put_input
        self._address: identity.Address | None = None
        self._calls_by_key: dict[ledger.TaskKey, asyncio.Task[None]] = {}
        self._stopping_keys: set[ledger.TaskKey] = set()
        self._tasks: set[asyncio.Task[t.Any]] = set()

    def set_backend_address(self, address: identity.Address) -> None:
        """Set the address of the backend server for later calls."""
        self._address = address

    def call(self, output: effects.CallBackend) -> None:
        """Start a call to the backend server."""
        key = ledger.TaskKey(output.request_id, output.attempt)
        call = self._spawn(self._call(output))
        self._calls_by_key[key] = call
        call.add_done_callback(lambda _: self._calls_by_key.pop(key, None))

    def checkpoint(self, output: effects.Checkpoint) -> None:
        """Checkpoint a task."""
        self._spawn(self._checkpoint(output))

    def throttle(self, output: effects.Throttle) -> None:
        """Throttle a task."""
        self._spawn(self._control.throttle(_task_id(output)))

    def renew(self, output: effects.RenewTaskLease) -> None:
        """Renew the platform's lease of a task."""
        self._spawn(self._control.lease(_task_id(output), output.ttl_ms))

    def stop(self, output: effects.StopTask) -> None:
        """Stop a task unless a stop is already in progress."""
        key = ledger.TaskKey(output.request_id, output.attempt)
        if key not in self._stopping_keys:
            self._stopping_keys.add(key)
            self._spawn(self._stop(output, key))

    def poll_usage(self) -> None:
        """Request the tasks' usage from the platform, if there are calls."""
        if self._calls_by_key:
            self._spawn(self._poll_usage())

    async def close(self) -> None:
        """Cancel all open calls and close the connections."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._client.close()
        await self._control.close()

    async def _call(self, output: effects.CallBackend) -> None:
        result = Err(
            exceptions.Error.from_kind(
                exceptions.ErrorKind.BACKEND_UNREACHABLE,
                'no backend server has been announced',
            )
        )
        if self._address is not None:
            result = await self._client.call(
                self._address, _http_request(output), output.timeout_ms
            )
        if result.is_ok():
            response = result.ok_value
            result = Ok(
                effects.BackendAnswer(
                    response.status, response.content_type, response.body
                )
            )
        self._put_input(
            effects.BackendAnswered(output.request_id, output.attempt, result)
        )

    async def _checkpoint(self, output: effects.Checkpoint) -> None:
        is_saved = await self._control.checkpoint(
            _task_id(output), output.grace_ms
        )
        self._put_input(
            effects.CheckpointDone(output.request_id, output.attempt, is_saved)
        )

    async def _stop(
        self, output: effects.StopTask, key: ledger.TaskKey
    ) -> None:
        """Stop a task and drop its call.

        A task that the backend server had not started when the stop
        arrived may start afterwards, whereas a stopped task answers its
        call. Therefore a task whose call stays open is stopped a second
        time.
        """
        try:
            is_confirmed = await self._control.stop(_task_id(output))
            call = self._calls_by_key.get(key)
            if is_confirmed and call is not None:
                await self._drop_call(call, output)
        finally:
            self._stopping_keys.discard(key)
        self._put_input(
            effects.TaskStopped(
                output.request_id, output.attempt, is_confirmed
            )
        )

    async def _drop_call(
        self, call: asyncio.Task[None], output: effects.StopTask
    ) -> None:
        if not isinstance(self._control, controls.NoControl):
            await asyncio.wait([call], timeout=STOPPED_CALL_TIMEOUT_MS / 1_000)
            if not call.done():
                await self._control.stop(_task_id(output))
        call.cancel()

    async def _poll_usage(self) -> None:
        usage = await self._control.usage()
        if usage.usages:
            self._put_input(usage)

    def _spawn(self, coroutine: t.Coroutine[t.Any, t.Any, t.Any]):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _task_id(
    output: effects.Checkpoint
    | effects.Throttle
    | effects.StopTask
    | effects.RenewTaskLease,
) -> str:
    return controls.task_id(output.request_id, output.attempt, output.member)


def _http_request(output: effects.CallBackend) -> http_types.HttpRequest:
    positions = ','.join(str(position) for position in output.positions)
    return http_types.HttpRequest(
        'POST',
        f'/{output.service}/{output.method}',
        headers_by_name={
            'content-type': output.content_type,
            'mulberryloom-request-id': output.request_id,
            'mulberryloom-attempt': str(output.attempt),
            'mulberryloom-accelerators': positions,
            'mulberryloom-member': f'{output.member}/{output.members}',
            'mulberryloom-resume': 'true' if output.is_resumed else 'false',
        },
        body=output.body,
    )
