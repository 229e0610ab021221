"""HTTP protocol between an agent and its job worker.

The protocol is described in ``docs/job-workers.md``. Each reply has its
outcome in the field ``status``, a value of :class:`worker_calls.CallStatus`.
"""

import typing as t

from mulberryloom_core import identity
from mulberryloom_core import messages
from mulberryloom_core.process import settings as checks
from result import Err
from result import Ok
from result import Result
import structlog

from . import run_lists
from . import worker_calls
from . import worker_transport

HOLD_PATH = '/v1/runs/hold'
START_PATH = '/v1/runs/start'
STOP_PATH = '/v1/runs/stop'
#: Header with the name of the worker that a call is meant for.
WORKER_HEADER = 'mulberryloom-worker'

_AMOUNT = {'type': 'integer', 'minimum': 0, 'maximum': 1_000_000_000}
_TIME = {'type': 'integer', 'minimum': 0, 'maximum': 1 << 53}
_NAME = {'type': 'string', 'minLength': 1, 'maxLength': 100}

HEARTBEAT_SCHEMA: dict[str, t.Any] = {
    'type': 'object',
    'additionalProperties': False,
    'required': ['boot_ms', 'sequence', 'service', 'address', 'processors'],
    'properties': {
        'boot_ms': _TIME,
        'sequence': _TIME,
        'service': _NAME,
        'address': _NAME,
        'data_centre': {'type': 'string', 'maxLength': 100},
        'rack': {'type': 'string', 'maxLength': 100},
        'labels': {'type': 'array', 'items': _NAME, 'maxItems': 100},
        'processors': {'type': 'number', 'minimum': 0, 'maximum': 10_000},
        'memory_mb': _AMOUNT,
        'accelerators': {**_AMOUNT, 'maximum': 1_024},
        'is_draining': {'type': 'boolean'},
        'remaining_ms': _TIME,
    },
}
_MILLIS_PER_PROCESSOR = 1_000

_log = structlog.get_logger(__name__)


class HttpWorkerClient:
    """Client of one job worker.

    :param address: address at which the worker accepts calls.
    """

    def __init__(self, address: identity.Address) -> None:
        self._http = worker_transport.WorkerTransport(
            address, WORKER_HEADER, 'boot_ms', _status
        )

    async def close(self) -> None:
        """Close the connections to the worker."""
        await self._http.close()

    async def hold(
        self, call: worker_calls.HoldCall
    ) -> worker_calls.HoldReply:
        """Renew the lease and read the lists of runs."""
        status, document = await self._http.send_hold(
            HOLD_PATH,
            call,
            {
                'generation': call.generation,
                'deadline_ms': call.deadline_ms,
                'wait_ms': call.wait_ms,
            },
        )
        if status is not worker_calls.CallStatus.DONE:
            return worker_calls.HoldReply(status)
        try:
            running, lacks_running = run_lists.read_rows(
                call.worker, document['running'], _running_task
            )
            ended, lacks_ended = run_lists.read_rows(
                call.worker, document['ended'], _ended_task
            )
            return worker_calls.HoldReply(
                status,
                int(document['clock_ms']),
                int(document['boot_ms']),
                running,
                ended,
                is_partial=(
                    lacks_running
                    or lacks_ended
                    or bool(document.get('is_partial', False))
                ),
            )
        except (KeyError, ValueError, TypeError, AttributeError) as problem:
            _log.warning(
                'malformed run lists', worker=call.worker, reason=repr(problem)
            )
            return worker_calls.HoldReply(worker_calls.CallStatus.UNKNOWN)

    async def start(
        self, call: worker_calls.StartCall
    ) -> worker_calls.CallReply:
        """Start a run."""
        body = {
            'task': call.start.task,
            'run': call.start.run_number,
            'payload': call.start.payload,
            'checkpoint': call.start.checkpoint,
            'deadline_ms': call.deadline_ms,
            'generation': call.generation,
        }
        return await self._http.send_order(START_PATH, call.worker, body)

    async def stop(
        self, call: worker_calls.StopCall
    ) -> worker_calls.CallReply:
        """Stop a run."""
        body = {
            'task': call.run.task,
            'run': call.run.run_number,
            'generation': call.generation,
        }
        return await self._http.send_order(STOP_PATH, call.worker, body)


def _status(
    code: int, document: worker_transport.Document
) -> worker_calls.CallStatus:
    """Return the outcome of a call.

    A reply with an unrecognized status counts as rejected if it is a
    client error, and as unknown otherwise.

    :param code: HTTP status; ``0`` when there was no valid reply.
    """
    if code >= 500 or code == 0:
        return worker_calls.CallStatus.UNKNOWN
    try:
        return worker_calls.CallStatus(document.get('status'))
    except ValueError:
        _log.warning(
            'unknown call status', code=code, status=document.get('status')
        )
    if code >= 400:
        return worker_calls.CallStatus.REJECTED
    return worker_calls.CallStatus.UNKNOWN


def _running_task(item: t.Any) -> messages.RunningTask:
    return run_lists.running_task(
        item['task'],
        item['run'],
        item.get('checkpoint', ''),
        item.get('progress_percent', 0),
    )


def _ended_task(item: t.Any) -> messages.EndedTask:
    return run_lists.ended_task(
        item['sequence'],
        item['task'],
        item['run'],
        item['how'],
        item.get('checkpoint', ''),
    )


def read_heartbeat(
    worker: str, body: bytes
) -> Result[worker_calls.WorkerInfo, list[str]]:
    """Read a heartbeat.

    :param body: JSON document that follows :data:`HEARTBEAT_SCHEMA`.
    :return: the heartbeat, or a description of every error in it.
    """
    parsed = checks.parse(body, HEARTBEAT_SCHEMA)
    if isinstance(parsed, Err):
        return Err([str(problem) for problem in parsed.err_value])
    document = parsed.ok_value
    return Ok(
        worker_calls.WorkerInfo(
            worker,
            document['boot_ms'],
            document['sequence'],
            document['service'],
            document['address'],
            document.get('data_centre', ''),
            document.get('rack', ''),
            tuple(document.get('labels', ())),
            round(document['processors'] * _MILLIS_PER_PROCESSOR),
            document.get('memory_mb', 0),
            document.get('accelerators', 0),
            document.get('is_draining', False),
            document.get('remaining_ms', 0),
        )
    )
