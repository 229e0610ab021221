"""Bodies of the caller stand-in's requests, and checks of the answers.

A request body tells the backend server stand-in how long to run and how much
to answer. The answer contains the token and digest of the request body, and
filler of the requested length. This detects answers that are truncated,
corrupted or meant for another request.
"""

import dataclasses
import hashlib
import json

FILLER = 'f'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Request body for the backend server stand-in.

    :param token: unique name of the request.
    :param run_ms: run time.
    :param answer_bytes: length of the filler in the answer.
    :param memory_mb: memory that the run is reported to use.
    """

    token: str
    run_ms: int = 20
    answer_bytes: int = 64
    memory_mb: int = 128

    @classmethod
    def from_body(cls, body: bytes) -> 'Order':
        """Read an order from a request body.

        :raises ValueError: when the body is not an order.
        """
        try:
            return cls(**json.loads(body))
        except TypeError as problem:
            raise ValueError(str(problem)) from problem

    def to_body(self) -> bytes:
        """Return the request body."""
        return json.dumps(dataclasses.asdict(self)).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Answer of the backend server stand-in to an order.

    :param token: token of the order.
    :param sha256: hexadecimal digest of the request body.
    :param worker: name of the worker that ran the order.
    :param filler: as many :data:`FILLER` as the order requested.
    """

    token: str
    sha256: str
    worker: str
    filler: str

    @classmethod
    def from_request(cls, body: bytes, worker: str) -> 'OrderAnswer':
        """Build the answer to a request body that holds an order."""
        order = Order.from_body(body)
        return cls(
            order.token,
            hashlib.sha256(body).hexdigest(),
            worker,
            FILLER * order.answer_bytes,
        )

    @classmethod
    def from_body(cls, body: bytes) -> 'OrderAnswer':
        """Read an answer.

        :raises ValueError: when the body is not a complete answer.
        """
        try:
            return cls(**json.loads(body))
        except TypeError as problem:
            raise ValueError(str(problem)) from problem

    def to_body(self) -> bytes:
        """Return the body of the answer."""
        return json.dumps(dataclasses.asdict(self)).encode()


def find_fault(request_body: bytes, answer_body: bytes) -> str:
    """Compare an answer with its request.

    :return: description of the first fault; empty when there is none.
    """
    try:
        answer = OrderAnswer.from_body(answer_body)
    except ValueError as problem:
        return f'answer of {len(answer_body)} bytes is malformed: {problem}'
    expected = OrderAnswer.from_request(request_body, answer.worker)
    if answer.token != expected.token:
        return f'request {expected.token} got the answer to {answer.token}'
    if answer != expected:
        return f'answer to {expected.token} has another digest or filler'
    return ''
