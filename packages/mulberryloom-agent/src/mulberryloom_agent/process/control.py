"""Worker control: the platform's operations on tasks of this worker."""

import json
import typing as t

from mulberryloom_core.connection import http_client
from mulberryloom_core.connection import http_types
from mulberryloom_core import identity

from .. import effects

CALL_TIMEOUT_MS = 2_000
SUCCESS_STATUSES = range(200, 300)


def task_id(request_id: str, attempt: int, member: int) -> str:
    """Return the ID of a task in calls to the platform.

    :param member: index in the gang; ``0`` without gang.
    """
    return f'{request_id}.{attempt}.{member}'


class WorkerControl(t.Protocol):
    """Operations of the platform on running tasks.

    Each ``task`` is an ID as returned by :func:`task_id`.
    """

    async def lease(self, task: str, ttl_ms: int) -> bool:
        """Renew a task's lease by ``ttl_ms``; tell whether that succeeded."""

    async def checkpoint(self, task: str, grace_ms: int) -> bool:
        """Checkpoint a task within ``grace_ms``; tell whether it was saved."""

    async def throttle(self, task: str) -> bool:
        """Throttle a task; tell whether that succeeded."""

    async def stop(self, task: str) -> bool:
        """Stop a task; tell whether it is confirmed to have stopped."""

    async def usage(self) -> effects.UsageReported:
        """Return memory samples of all tasks; each one states its age."""

    async def close(self) -> None:
        """Close open connections."""


class NoControl:
    """Worker control without a platform, if the settings name none.

    Tasks can be neither checkpointed nor throttled; a task is stopped by
    dropping its call to the backend server.
    """

    __slots__ = ()

    async def lease(self, task: str, ttl_ms: int) -> bool:
        """Report success; there is no lease to renew."""
        return True

    async def checkpoint(self, task: str, grace_ms: int) -> bool:
        """Report that no checkpoint was saved."""
        return False

    async def throttle(self, task: str) -> bool:
        """Report that the task was not throttled."""
        return False

    async def stop(self, task: str) -> bool:
        """Report success; the dropped call stops the task."""
        return True

    async def usage(self) -> effects.UsageReported:
        """Return no samples."""
        return effects.UsageReported(())

    async def close(self) -> None:
        """Do nothing."""


class HttpControl:
    """Worker control over the platform's HTTP interface.

    :param address: address of the platform's service.
    """

    __slots__ = ('_address', '_client')

    def __init__(self, address: identity.Address) -> None:
        self._address = address
        self._client = http_client.HttpClient.from_limits()

    async def lease(self, task: str, ttl_ms: int) -> bool:
        """Renew a task's lease by ``ttl_ms``; tell whether that succeeded."""
        document = await self._post(task, 'lease', {'ttl_ms': ttl_ms})
        return document is not None

    async def checkpoint(self, task: str, grace_ms: int) -> bool:
        """Checkpoint a task within ``grace_ms``; tell whether it was saved."""
        body = {'grace_ms': grace_ms}
        timeout_ms = grace_ms + CALL_TIMEOUT_MS
        document = await self._post(task, 'checkpoint', body, timeout_ms)
        return document is not None and document.get('is_saved') is True

    async def throttle(self, task: str) -> bool:
        """Throttle a task; tell whether that succeeded."""
        return await self._post(task, 'throttle', {}) is not None

    async def stop(self, task: str) -> bool:
        """Stop a task; tell whether it is confirmed to have stopped."""
        document = await self._post(task, 'stop', {})
        return document is not None and document.get('is_stopped') is True

    async def usage(self) -> effects.UsageReported:
        """Return memory samples of all tasks; each one states its age."""
        request = http_types.HttpRequest('GET', '/v1/usage')
        document = await self._call(request, CALL_TIMEOUT_MS)
        return _parse_usage(document or {})

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()

    async def _post(
        self,
        task: str,
        action: str,
        body: dict[str, t.Any],
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> dict[str, t.Any] | None:
        request = http_types.HttpRequest(
            'POST',
            f'/v1/tasks/{task}/{action}',
            headers_by_name={'content-type': 'application/json'},
            body=json.dumps(body).encode(),
        )
        return await self._call(request, timeout_ms)

    async def _call(
        self, request: http_types.HttpRequest, timeout_ms: int
    ) -> dict[str, t.Any] | None:
        result = await self._client.call(self._address, request, timeout_ms)
        if result.is_err():
            return None
        response = result.ok_value
        if response.status not in SUCCESS_STATUSES:
            return None
        try:
            document = json.loads(response.body or b'{}')
        except ValueError:
            return None
        return document if isinstance(document, dict) else None


def _parse_usage(document: dict[str, t.Any]) -> effects.UsageReported:
    usages = []
    items = document.get('usages')
    for item in items if isinstance(items, list) else []:
        try:
            usage = effects.TaskUsage(
                str(item['request_id']),
                int(item['attempt']),
                int(item['memory_mb']),
                int(item['age_ms']),
            )
        except (KeyError, TypeError, ValueError):
            continue
        usages.append(usage)
    return effects.UsageReported(tuple(usages))
