"""Error kinds, the response for each kind, and errors as values."""

import dataclasses
import enum


class Ran(enum.Enum):
    """Whether a failed request has run."""

    NO = 'no'
    UNKNOWN = 'unknown'
    YES = 'yes'


class ErrorKind(enum.Enum):
    """All reasons for which a request, message or ticket can fail."""

    # Callers' requests
    MALFORMED_REQUEST = 'malformed-request'
    HEAD_TOO_LARGE = 'head-too-large'
    BODY_TOO_LARGE = 'body-too-large'
    TOO_MANY_REQUESTS = 'too-many-requests'
    SLOW_SENDER = 'slow-sender'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    UNKNOWN_SERVICE = 'unknown-service'
    UNKNOWN_METHOD = 'unknown-method'
    UNKNOWN_REQUEST = 'unknown-request'
    METHOD_NOT_ALLOWED = 'method-not-allowed'
    IDEMPOTENCY_KEY_REUSED = 'idempotency-key-reused'
    IDEMPOTENCY_KEY_IN_USE = 'idempotency-key-in-use'
    # Scheduling
    QUEUE_FULL = 'queue-full'
    DEADLINE_UNREACHABLE = 'deadline-unreachable'
    DEADLINE_PASSED = 'deadline-passed'
    NEVER_FITS = 'never-fits'
    NO_WORKER = 'no-worker'
    RETRY_BUDGET_SPENT = 'retry-budget-spent'
    ATTEMPTS_SPENT = 'attempts-spent'
    CANCELLED = 'cancelled'
    STOPPING = 'stopping'
    OVER_SHARE = 'over-share'
    NO_CAPACITY = 'no-capacity'
    # Execution
    BACKEND_FAILED = 'backend-failed'
    BACKEND_UNREACHABLE = 'backend-unreachable'
    WORKER_LOST = 'worker-lost'
    MEMORY_EXCEEDED = 'memory-exceeded'
    PREEMPTED = 'preempted'
    GANG_STOPPED = 'gang-stopped'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    OUTCOME_EXPIRED = 'outcome-expired'
    # Peers
    STALE_INCARNATION = 'stale-incarnation'
    STALE_EPOCH = 'stale-epoch'
    CLAIM_TAKEN = 'claim-taken'
    BAD_FRAME = 'bad-frame'
    BAD_HANDSHAKE = 'bad-handshake'
    # Store and configuration
    STORE_UNAVAILABLE = 'store-unavailable'
    STORE_CONFLICT = 'store-conflict'
    INVALID_TICKET = 'invalid-ticket'
    TICKET_SUPERSEDED = 'ticket-superseded'
    TICKET_NUMBER_REUSED = 'ticket-number-reused'
    GUARANTEES_DO_NOT_PACK = 'guarantees-do-not-pack'
    CONFIGURATION_TOO_LARGE = 'configuration-too-large'
    INVALID_SETTINGS = 'invalid-settings'
    INTERNAL = 'internal'
    UNKNOWN_JOB = 'unknown-job'
    UNKNOWN_QUEUE = 'unknown-queue'


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorResponse:
    """HTTP response for one kind of error.

    :param status: HTTP status code.
    :param title: short human-readable summary.
    :param ran: default of :attr:`Error.ran` for this kind.
    :param is_retryable: whether a later retry can succeed.
    """

    status: int
    title: str
    ran: Ran
    is_retryable: bool


def _final(status: int, title: str, ran: Ran = Ran.NO) -> ErrorResponse:
    return ErrorResponse(status, title, ran, is_retryable=False)


def _retryable(status: int, title: str, ran: Ran = Ran.NO) -> ErrorResponse:
    return ErrorResponse(status, title, ran, is_retryable=True)


RESPONSE_BY_KIND: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.MALFORMED_REQUEST: _final(400, 'malformed request'),
    ErrorKind.HEAD_TOO_LARGE: _final(431, 'request head too large'),
    ErrorKind.BODY_TOO_LARGE: _final(413, 'request body too large'),
    ErrorKind.TOO_MANY_REQUESTS: _retryable(429, 'too many requests'),
    ErrorKind.SLOW_SENDER: _retryable(408, 'request sent too slowly'),
    ErrorKind.UNAUTHENTICATED: _final(401, 'token missing or unknown'),
    ErrorKind.FORBIDDEN: _final(403, 'not allowed for this account'),
    ErrorKind.UNKNOWN_SERVICE: _final(404, 'unknown service'),
    ErrorKind.UNKNOWN_METHOD: _final(404, 'unknown method'),
    ErrorKind.UNKNOWN_REQUEST: _final(404, 'unknown request'),
    ErrorKind.UNKNOWN_JOB: _final(404, 'unknown job'),
    ErrorKind.UNKNOWN_QUEUE: _final(404, 'unknown queue'),
    ErrorKind.METHOD_NOT_ALLOWED: _final(405, 'method not allowed'),
    ErrorKind.IDEMPOTENCY_KEY_REUSED: _final(
        422, 'idempotency key used before with another request'
    ),
    ErrorKind.IDEMPOTENCY_KEY_IN_USE: _retryable(
        409, 'request with this idempotency key still runs', Ran.UNKNOWN
    ),
    ErrorKind.QUEUE_FULL: _retryable(503, 'queue of the account is full'),
    ErrorKind.DEADLINE_UNREACHABLE: _retryable(
        503, 'predicted wait exceeds the deadline'
    ),
    ErrorKind.DEADLINE_PASSED: _final(504, 'deadline passed', Ran.UNKNOWN),
    ErrorKind.NEVER_FITS: _final(422, 'larger than the configured fleet'),
    ErrorKind.NO_WORKER: _retryable(503, 'no worker serves this now'),
    ErrorKind.RETRY_BUDGET_SPENT: _retryable(
        503, 'retry budget of the account spent', Ran.UNKNOWN
    ),
    ErrorKind.ATTEMPTS_SPENT: _final(502, 'failed on every attempt', Ran.YES),
    ErrorKind.CANCELLED: _final(409, 'cancelled', Ran.UNKNOWN),
    ErrorKind.STOPPING: _retryable(503, 'process is stopping'),
    ErrorKind.OVER_SHARE: _retryable(503, 'account is over its share'),
    ErrorKind.NO_CAPACITY: _retryable(503, 'no free capacity'),
    ErrorKind.BACKEND_FAILED: _final(
        502, 'backend server failed the request', Ran.YES
    ),
    ErrorKind.BACKEND_UNREACHABLE: _retryable(
        503, 'backend server unreachable'
    ),
    ErrorKind.WORKER_LOST: _retryable(502, 'worker lost', Ran.UNKNOWN),
    ErrorKind.MEMORY_EXCEEDED: _final(507, 'memory limit exceeded', Ran.YES),
    ErrorKind.PREEMPTED: _retryable(503, 'preempted', Ran.UNKNOWN),
    ErrorKind.GANG_STOPPED: _retryable(502, 'gang stopped', Ran.UNKNOWN),
    ErrorKind.OUTCOME_UNKNOWN: _final(
        502, 'outcome of the request is unknown', Ran.UNKNOWN
    ),
    ErrorKind.OUTCOME_EXPIRED: _final(410, 'outcome no longer kept', Ran.YES),
    ErrorKind.STALE_INCARNATION: _retryable(503, 'stale incarnation'),
    ErrorKind.STALE_EPOCH: _retryable(503, 'stale epoch'),
    ErrorKind.CLAIM_TAKEN: _retryable(
        409, 'claim held by another agent', Ran.UNKNOWN
    ),
    ErrorKind.BAD_FRAME: _final(400, 'malformed frame'),
    ErrorKind.BAD_HANDSHAKE: _final(401, 'handshake refused'),
    ErrorKind.STORE_UNAVAILABLE: _retryable(503, 'store unavailable'),
    ErrorKind.STORE_CONFLICT: _retryable(409, 'store value changed'),
    ErrorKind.INVALID_TICKET: _final(422, 'invalid ticket'),
    ErrorKind.TICKET_SUPERSEDED: _final(
        409, 'ticket number is not above what it replaces'
    ),
    ErrorKind.TICKET_NUMBER_REUSED: _final(
        409, 'ticket number used before with other content'
    ),
    ErrorKind.GUARANTEES_DO_NOT_PACK: _final(
        409, 'guarantees do not fit the configured fleet'
    ),
    ErrorKind.CONFIGURATION_TOO_LARGE: _final(
        413, 'configuration would exceed the store value limit'
    ),
    ErrorKind.INVALID_SETTINGS: _final(400, 'invalid settings'),
    ErrorKind.INTERNAL: _retryable(500, 'internal error', Ran.UNKNOWN),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Error:
    """A failure as a value, returned rather than raised.

    :param kind: reason of the failure.
    :param detail: human-readable text with names and figures.
    :param ran: whether the request ran.
    :param retry_after_ms: time until a retry; ``0`` if there is none.
    """

    kind: ErrorKind
    detail: str = ''
    ran: Ran = Ran.NO
    retry_after_ms: int = 0

    @classmethod
    def from_kind(
        cls,
        kind: ErrorKind,
        detail: str = '',
        *,
        ran: Ran | None = None,
        retry_after_ms: int = 0,
    ) -> 'Error':
        """Build an error with the defaults of its kind.

        :param detail: the title of the kind if empty.
        :param ran: the default of the kind if ``None``.
        :param retry_after_ms: ignored if the kind is not retryable.
        """
        answer = RESPONSE_BY_KIND[kind]
        return cls(
            kind,
            detail or answer.title,
            answer.ran if ran is None else ran,
            retry_after_ms if answer.is_retryable else 0,
        )


class MulberryloomError(Exception):
    """Exception that carries an :class:`Error` to the top of a process."""

    def __init__(self, error: Error) -> None:
        super().__init__(f'{error.kind.value}: {error.detail}')
        self.error = error
