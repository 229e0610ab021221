"""Speeds of the workers' VMs, learned from the progress of runs.

A speed is relative to the declared durations: on a VM with speed 1.6, a task
takes its declared duration divided by 1.6. It belongs to the VM, so that a
restarted worker keeps it.

The logarithm of the ratio of a run's declared to its extrapolated duration is
modelled as the logarithm of the VM's speed, plus the error of the step's
declaration, plus a difference between tasks. The error of the declaration is
estimated from the step's runs on other VMs.
"""

import collections
import dataclasses
import itertools
import math
import typing as t

import structlog

from .capacity import ActiveRun
from .capacity import NOMINAL_SPEED_PERMILLE
from .capacity import RunKey
from .capacity import WorkerCapacity

#: Id of the job, repetition and index of the step.
_StepKey: t.TypeAlias = tuple[str, int, int]

#: Percentage that a run has to have done to be a sample. Below it, the delay
#: of the start and the interval of the reports weigh too much.
MIN_SAMPLE_PROGRESS = 20
#: Runs that the speed 1.0, or the speed from an earlier leader, counts as.
PRIOR_RUNS = 2.0
#: The same for the speeds from which errors of declarations are derived. Steps
#: tell mainly how their VMs differ; this keeps the mean of all VMs at 1.0.
_MIN_PRIOR_RUNS = 0.02
#: While the 90th percentile of the speeds exceeds the 10th by less than this
#: factor, all speeds count as 1.0, since decisions on equal fleets must not
#: depend on noise.
EQUAL_FLEET_FACTOR = 1.5
#: Standard deviation of the logarithms of the durations of a step's tasks.
_TASK_DEVIATION = 0.1
#: Distance of the 10th and the 90th percentile of a normal distribution, in
#: standard deviations. The speeds of equal workers differ as much by noise;
#: on random loads without this allowance, 8 of 12 equal fleets did not count
#: as equal for a time.
_PERCENTILE_SPREAD = 2.56
#: Part of the speeds that the percentiles leave out at each end.
_OUTLIER_SHARE = 0.1
#: Time in which the weight of a sample halves. It is counted to the newest
#: sample of the VM, so that the speed of an idle VM is kept.
_HALF_LIFE_MS = 10_000
#: Age up to which samples count as recent. Older samples that contradict them
#: are ignored, since the speed of the VM has changed.
_RECENT_MS = 5_000
#: Runs that make the recent samples reliable enough for that.
_MIN_RECENT_RUNS = 1.5
#: Difference in logarithms that counts as a contradiction. Tasks of a step
#: differ by up to 0.3.
_CONTRADICTION = 0.35
#: Number of runs on other VMs that a step's declaration counts as when its
#: error is estimated. Declarations are wrong by a factor of up to 1.5, tasks
#: of one step differ by up to 0.3: this is the ratio of the variances.
_DECLARATION_RUNS = 0.2
#: Newest samples that are kept for each VM.
_MAX_SAMPLES_PER_VM = 16
#: VMs whose speed is computed in one planning round, which bounds its cost.
_MAX_UPDATES_PER_ROUND = 32
_MIN_LOG_SPEED = math.log(0.2)
_MAX_LOG_SPEED = math.log(5.0)
#: Step to which speeds are rounded for decisions and logs, and distance from
#: the present value at which it changes, so that noise does not change it.
_ROUNDING_PERMILLE = 100
_ROUNDING_TOLERANCE_PERMILLE = 70

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(slots=True)
class _StepSamples:
    """Samples of one step on all VMs.

    :param total: sum of the logarithms of the ratios, each without the speed
        of its VM.
    :param racks: racks of a gang that should be in one.
    """

    total: float = 0.0
    count: int = 0
    racks: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class _Sample:
    """What one run shows.

    :param log_ratio: logarithm of declared by extrapolated duration.
    :param at_ms: time up to which the progress was observed.
    """

    step_key: _StepKey
    log_ratio: float
    at_ms: int


class _Residual(t.NamedTuple):
    """What a sample tells of the speed of its VM.

    :param log_speed: logarithm of the speed.
    :param runs: number of runs that it counts as: 1 if the error of the
        declaration is known exactly.
    :param is_compared: whether runs on other VMs tell that error.
    """

    age_ms: int
    log_speed: float
    runs: float
    is_compared: bool


@dataclasses.dataclass(slots=True)
class _VmSpeed:
    """Speed of one VM.

    :param sample_by_run: newest samples, oldest observation first.
    :param inherited_log: logarithm of the speed from an earlier leader, or of
        1.0, to which the estimate is shrunk.
    :param fitted_log: logarithm of the speed that fits the samples best. The
        errors of declarations are derived from it: derived from shrunk
        speeds, they would shrink the speeds of VMs that share steps again
        and again.
    :param log_speed: the same, shrunk.
    :param compared_log: the same, from runs whose step has runs on other VMs
        as well; ``None`` if there are none. ``compared_variance`` is its
        variance.
    :param runs: number of runs behind the estimate, by their quality.
    :param rounded_permille: speed for decisions.
    """

    sample_by_run: dict[RunKey, _Sample] = dataclasses.field(
        default_factory=dict
    )
    inherited_log: float = 0.0
    inherited_ms: int = 0
    fitted_log: float = 0.0
    log_speed: float = 0.0
    compared_log: float | None = None
    compared_variance: float = 0.0
    runs: float = 0.0
    rounded_permille: int = NOMINAL_SPEED_PERMILLE

    @property
    def is_learned(self) -> bool:
        return bool(self.sample_by_run) or self.inherited_log != 0.0

    @property
    def permille(self) -> int:
        return round(NOMINAL_SPEED_PERMILLE * math.exp(self.log_speed))


class WorkerSpeeds:
    """Learns the speeds of VMs."""

    def __init__(self) -> None:
        self._speed_by_vm: dict[str, _VmSpeed] = {}
        self._samples_by_step: dict[_StepKey, _StepSamples] = (
            collections.defaultdict(_StepSamples)
        )
        self._vm_by_run: dict[RunKey, str] = {}
        # VMs with new samples, longest waiting first.
        self._changed_vms: dict[str, None] = {}
        #: Lowest and highest speed that the last round used.
        self.range_permille = (NOMINAL_SPEED_PERMILLE, NOMINAL_SPEED_PERMILLE)

    # Samples

    def adopt(self, vm: str, speed_permille: int, now_ms: int) -> None:
        """Start from a speed that an earlier leader has learned.

        It is ignored if this leader knows the VM already.

        :param speed_permille: ``0`` if it is unknown.
        """
        if vm in self._speed_by_vm:
            return
        speed = self._speed_by_vm[vm] = _VmSpeed()
        if speed_permille > 0:
            log_speed = math.log(speed_permille / NOMINAL_SPEED_PERMILLE)
            speed.inherited_log = _clamped(log_speed)
            speed.inherited_ms = now_ms
            self._changed_vms[vm] = None

    def note_progress(
        self, run: ActiveRun, worker: WorkerCapacity, *, has_stalled: bool
    ) -> None:
        """Learn from a run whose progress has increased.

        :param has_stalled: whether it had made no progress for too long
            before. Such a run does not count any more.
        """
        if has_stalled:
            run.has_stalled = True
            self.forget(run)
        done = run.progress - run.base_progress
        if done < MIN_SAMPLE_PROGRESS:
            return
        elapsed_ms = run.last_progress_ms - run.base_ms
        self._add(run, worker, 100 * elapsed_ms // done, run.last_progress_ms)

    def note_done(
        self, run: ActiveRun, worker: WorkerCapacity, now_ms: int
    ) -> None:
        """Learn from a run that has ended well, after it was forgotten.

        Members of a gang end with the slowest of them, so that only their
        progress tells their own speed.
        """
        if run.step.is_gang:
            self.note_progress(run, worker, has_stalled=False)
        else:
            left = 100 - run.base_progress
            if left >= MIN_SAMPLE_PROGRESS:
                duration_ms = 100 * (now_ms - run.base_ms) // left
                self._add(run, worker, duration_ms, now_ms)

    def forget(self, run: ActiveRun) -> None:
        """Drop the sample of a run that is stopped or lost."""
        vm = self._vm_by_run.get(run.key)
        if vm is not None:
            self._drop(vm, run.key)
            self._changed_vms[vm] = None

    def _add(
        self,
        run: ActiveRun,
        worker: WorkerCapacity,
        duration_ms: int,
        at_ms: int,
    ) -> None:
        step = run.step
        if (
            run.is_stopping
            or run.has_stalled
            or step.is_lasting
            or not step.estimate_ms
            or duration_ms <= 0
            or (step.rack and worker.rack != step.rack)
        ):
            return
        self.forget(run)
        vm = _vm_of(worker)
        speed = self._speed_by_vm.setdefault(vm, _VmSpeed())
        step_key = run.job.job_id, run.task.key.repetition, run.task.key.step
        log_ratio = math.log(step.estimate_ms / duration_ms)
        speed.sample_by_run[run.key] = _Sample(step_key, log_ratio, at_ms)
        self._vm_by_run[run.key] = vm
        samples = self._samples_by_step[step_key]
        samples.total += log_ratio - speed.fitted_log
        samples.count += 1
        if step.is_gang and step.is_same_rack:
            samples.racks.add(worker.rack)
        if len(speed.sample_by_run) > _MAX_SAMPLES_PER_VM:
            self._drop(vm, next(iter(speed.sample_by_run)))
        self._changed_vms[vm] = None

    def _drop(self, vm: str, key: RunKey) -> None:
        del self._vm_by_run[key]
        speed = self._speed_by_vm[vm]
        sample = speed.sample_by_run.pop(key)
        samples = self._samples_by_step[sample.step_key]
        samples.total -= sample.log_ratio - speed.fitted_log
        samples.count -= 1
        if not samples.count:
            del self._samples_by_step[sample.step_key]

    # Speeds

    def permille_of(self, vm: str) -> int:
        """Return the learned speed of a VM, ``0`` if it is unknown.

        It is given also while the speeds of the fleet count as equal.
        """
        speed = self._speed_by_vm.get(vm)
        return speed.permille if speed and speed.is_learned else 0

    def begin_round(self, workers: t.Sequence[WorkerCapacity]) -> None:
        """Set the speeds of the workers for a planning round."""
        changed = itertools.islice(self._changed_vms, _MAX_UPDATES_PER_ROUND)
        for vm in list(changed):
            del self._changed_vms[vm]
            self._update(vm)
        is_equal = self._are_equal(workers)
        for worker in workers:
            speed = self._speed_by_vm.get(worker.vm or worker.worker)
            worker.speed_permille = (
                NOMINAL_SPEED_PERMILLE
                if is_equal or speed is None
                else speed.rounded_permille
            )
        used = [worker.speed_permille for worker in workers]
        self.range_permille = (
            min(used, default=NOMINAL_SPEED_PERMILLE),
            max(used, default=NOMINAL_SPEED_PERMILLE),
        )

    def _are_equal(self, workers: t.Iterable[WorkerCapacity]) -> bool:
        """Whether the speeds of a fleet count as equal."""
        log_speeds = []
        variance = 0.0
        for worker in workers:
            speed = self._speed_by_vm.get(worker.vm or worker.worker)
            if speed is not None and speed.compared_log is not None:
                log_speeds.append(speed.compared_log)
                variance += speed.compared_variance
        if not log_speeds:
            return True
        log_speeds.sort()
        left_out = int(_OUTLIER_SHARE * len(log_speeds))
        spread = log_speeds[-1 - left_out] - log_speeds[left_out]
        noise = _PERCENTILE_SPREAD * math.sqrt(variance / len(log_speeds))
        return spread < math.log(EQUAL_FLEET_FACTOR) + noise

    def _update(self, vm: str) -> None:
        speed = self._speed_by_vm[vm]
        before = speed.fitted_log
        self._estimate(speed)
        change = speed.fitted_log - before
        for sample in speed.sample_by_run.values():
            self._samples_by_step[sample.step_key].total -= change
        distance = abs(speed.permille - speed.rounded_permille)
        if distance > _ROUNDING_TOLERANCE_PERMILLE:
            speed.rounded_permille = max(
                _ROUNDING_PERMILLE, round(speed.permille, -2)
            )
            _log.info(
                'worker speed learned',
                vm=vm,
                speed=speed.rounded_permille / NOMINAL_SPEED_PERMILLE,
                runs=round(speed.runs, 1),
            )

    def _estimate(self, speed: _VmSpeed) -> None:
        """Set the logarithms of a VM's speed and the runs behind them."""
        if not speed.sample_by_run:
            speed.runs = 0.0
            speed.fitted_log = speed.log_speed = speed.inherited_log
            speed.compared_log = speed.inherited_log or None
            speed.compared_variance = 0.0
            return
        newest_ms = max(s.at_ms for s in speed.sample_by_run.values())
        found = list(self._residuals(speed, newest_ms))
        recent = [item for item in found if item.age_ms <= _RECENT_MS]
        mean, runs = _weighted_mean(recent)
        if runs >= _MIN_RECENT_RUNS:
            found = [
                item
                for item in found
                if item.age_ms <= _RECENT_MS
                or abs(item.log_speed - mean) <= _CONTRADICTION
            ]
        prior = speed.inherited_log * _decay(newest_ms - speed.inherited_ms)
        mean, speed.runs = _weighted_mean(found)
        speed.fitted_log = _shrunk(mean, speed.runs, prior, _MIN_PRIOR_RUNS)
        speed.log_speed = _shrunk(mean, speed.runs, prior, PRIOR_RUNS)
        speed.compared_log = None
        compared = [item for item in found if item.is_compared]
        if compared or prior:
            mean, runs = _weighted_mean(compared)
            speed.compared_log = _shrunk(mean, runs, prior, PRIOR_RUNS)
            part = runs / (PRIOR_RUNS + runs)
            speed.compared_variance = part**2 * _variance_of_mean(compared)

    def _residuals(
        self, speed: _VmSpeed, newest_ms: int
    ) -> t.Iterator[_Residual]:
        """Yield what the samples of a VM tell of its speed.

        Gangs that should be in one rack and are not yield nothing.

        :param newest_ms: time to which their age is counted.
        """
        own_total: dict[_StepKey, float] = collections.defaultdict(float)
        own_count: dict[_StepKey, int] = collections.defaultdict(int)
        for sample in speed.sample_by_run.values():
            own_total[sample.step_key] += sample.log_ratio - speed.fitted_log
            own_count[sample.step_key] += 1
        for sample in speed.sample_by_run.values():
            key = sample.step_key
            samples = self._samples_by_step[key]
            if len(samples.racks) > 1:
                continue
            others = samples.count - own_count[key]
            known = others + _DECLARATION_RUNS
            error = (samples.total - own_total[key]) / known
            runs = known / (known + own_count[key])
            yield _Residual(
                newest_ms - sample.at_ms,
                sample.log_ratio - error,
                runs,
                others > 0,
            )


def _vm_of(worker: WorkerCapacity) -> str:
    return worker.vm or worker.worker


def _weighted_mean(
    found: t.Iterable[_Residual],
) -> tuple[float, float]:
    """Return the mean of residuals, and the number of runs it is worth."""
    total = weighted = runs = 0.0
    for item in found:
        weight = item.runs * _decay(item.age_ms)
        total += weight
        weighted += weight * item.log_speed
        runs += item.runs
    return (weighted / total, runs) if total else (0.0, 0.0)


def _variance_of_mean(found: t.Sequence[_Residual]) -> float:
    """Return the variance of the weighted mean of residuals."""
    weights = [item.runs * _decay(item.age_ms) for item in found]
    if not weights:
        return 0.0
    squares = sum(
        weight**2 / item.runs
        for weight, item in zip(weights, found, strict=True)
    )
    return _TASK_DEVIATION**2 * squares / sum(weights) ** 2


def _shrunk(
    mean: float, runs: float, prior: float, prior_runs: float
) -> float:
    """Return the mean of a number of runs, drawn towards a prior value."""
    return _clamped((prior_runs * prior + runs * mean) / (prior_runs + runs))


def _decay(age_ms: int) -> float:
    return float(0.5 ** (max(0, age_ms) / _HALF_LIFE_MS))


def _clamped(log_speed: float) -> float:
    return min(_MAX_LOG_SPEED, max(_MIN_LOG_SPEED, log_speed))
