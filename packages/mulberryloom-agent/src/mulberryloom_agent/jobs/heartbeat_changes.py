"""What may change from one heartbeat of a worker to the next."""

import dataclasses
import typing as t

from . import worker_calls


def fixed_fields(info: worker_calls.WorkerInfo) -> tuple[t.Any, ...]:
    """Return the fields that stay the same while an incarnation lasts."""
    return (
        info.service,
        info.address,
        info.data_centre,
        info.rack,
        info.labels,
    )


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
