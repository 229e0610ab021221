"""What may change from one heartbeat of a worker to the next."""

import dataclasses
import typing as t

from . import heartbeat_order
from . import worker_calls

#: Limit of the other descriptions that are followed at a time.
MAX_DESCRIPTIONS = 4


def fixed_fields(info: worker_calls.WorkerInfo) -> tuple[t.Any, ...]:
    """Return the fields that stay the same while an incarnation lasts."""
    return (
        info.service,
        info.address,
        info.data_centre,
        info.rack,
        info.labels,
    )


class OtherDescriptions:
    """Heartbeats of an incarnation with other fixed fields than adopted.

    A worker's answer does not tell its fixed fields. Those that were adopted
    were not its own if heartbeats with others go on, and none with the
    adopted ones come.
    """

    __slots__ = ('_series_by_fields',)

    def __init__(self) -> None:
        self._series_by_fields: dict[
            tuple[t.Any, ...], heartbeat_order.HeartbeatSeries
        ] = {}

    def add(self, info: worker_calls.WorkerInfo, now_ms: int) -> bool:
        """Add a heartbeat.

        :return: whether its sender is the worker itself.
        """
        fields = fixed_fields(info)
        series = self._series_by_fields.get(fields)
        if series is None:
            if len(self._series_by_fields) >= MAX_DESCRIPTIONS:
                del self._series_by_fields[next(iter(self._series_by_fields))]
            series = heartbeat_order.HeartbeatSeries()
            self._series_by_fields[fields] = series
        return series.add(info.sequence, now_ms)

    def clear(self) -> None:
        self._series_by_fields.clear()


def has_shrunk(
    info: worker_calls.WorkerInfo, previous: worker_calls.WorkerInfo
) -> bool:
    return (
        info.cpu_millis < previous.cpu_millis
        or info.memory_mb < previous.memory_mb
        or info.accelerators < previous.accelerators
    )


def without_volatile_fields(
    info: worker_calls.WorkerInfo,
) -> worker_calls.WorkerInfo:
    """Clear the fields that change with every heartbeat."""
    return dataclasses.replace(
        info, sequence=0, remaining_ms=0, warmup_left_ms=0
    )
