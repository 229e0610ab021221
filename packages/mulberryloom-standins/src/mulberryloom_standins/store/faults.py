"""Faults that can be injected into the store stand-in."""

import dataclasses
import json

from result import Err
from result import Ok
from result import Result

from mulberryloom_core import exceptions


@dataclasses.dataclass(slots=True)
class Faults:
    """Fault switches of the store stand-in; all off by default.

    :param outage: refuse every call, without any effect.
    :param delay_ms: delay before a call takes effect.
    :param lost_answers: number of following writes that take effect, but
        are answered by an error.
    :param stale_answers: number of following reads that are answered with
        the values from before each key's last write.
    """

    outage: bool = False
    delay_ms: int = 0
    lost_answers: int = 0
    stale_answers: int = 0

    @classmethod
    def from_json(cls, text: bytes) -> 'Result[Faults, exceptions.Error]':
        """Parse switches; missing ones are off."""
        try:
            return Ok(cls(**json.loads(text)))
        except (TypeError, ValueError) as problem:
            return Err(
                exceptions.Error.from_kind(
                    exceptions.ErrorKind.MALFORMED_REQUEST, str(problem)
                )
            )

    def to_json(self) -> bytes:
        """Return the current switches as a JSON object."""
        return json.dumps(dataclasses.asdict(self)).encode()

    def take_lost_answer(self) -> bool:
        """Return whether to discard the answer to a write; count it down."""
        if self.lost_answers == 0:
            return False
        self.lost_answers -= 1
        return True

    def take_stale_answer(self) -> bool:
        """Return whether to answer a read with old values; count it down."""
        if self.stale_answers == 0:
            return False
        self.stale_answers -= 1
        return True
