"""Table, JSON file and plot of the policy benchmark."""

import dataclasses
import json
import pathlib

import matplotlib
from matplotlib import pyplot

from . import driver

#: Name of the planner among the compared policies.
PLANNER_NAME = 'mulberryloom'

#: Figures in the plot, one column each.
PLOTTED_FIGURES = (
    'urgent completion p99 s',
    'batch completion p99 s',
    'longest gang wait s',
    'reclaim longest s',
    'fragmentation share',
)

#: Figures by the name of the policy and the name of the figure.
Figures = dict[str, dict[str, float]]


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target and the figure that is compared with it.

    :param text: short description of the target.
    :param bound: greatest value of ``measured`` that meets the target.
    """

    text: str
    measured: float
    bound: float

    @property
    def is_met(self) -> bool:
        """Whether the figure is within the bound."""
        return self.measured <= self.bound


def targets(
    figures_by_policy: Figures, longest_gang_wait_s: float
) -> list[Target]:
    """Return the design targets with the figures of a run.

    :param longest_gang_wait_s: configured bound of the planner.
    """
    planner = figures_by_policy[PLANNER_NAME]
    first_come = figures_by_policy['first-come first-fit']
    spread = figures_by_policy['spread']
    best_fit = figures_by_policy['best fit']
    urgent = 'urgent completion p99 s'
    return [
        Target(
            'urgent start p99 within 1 s', planner['urgent wait p99 s'], 1.0
        ),
        Target(
            'counter completion p99 at most half of first-come',
            planner[urgent],
            first_come[urgent] / 2,
        ),
        Target(
            'longest gang wait within its bound',
            planner['longest gang wait s'],
            longest_gang_wait_s,
        ),
        *_fragmentation_targets(planner, spread, best_fit, 'share'),
        *_fragmentation_targets(planner, spread, best_fit, 'by work'),
        Target(
            'reclaim within one checkpoint grace',
            planner['reclaim longest s'],
            driver.CHECKPOINT_GRACE_MS / 1_000,
        ),
    ]


def _fragmentation_targets(
    planner: dict[str, float],
    spread: dict[str, float],
    best_fit: dict[str, float],
    weighting: str,
) -> list[Target]:
    name = f'fragmentation {weighting}'
    return [
        Target(
            f'{name} at most half of spread', planner[name], spread[name] / 2
        ),
        Target(f'{name} below best fit', planner[name], best_fit[name]),
    ]


def table(deployment: str, figures_by_policy: Figures) -> str:
    """Return a text table of the figures, one column for each policy."""
    names = list(figures_by_policy)
    width = max(len(name) for name in names) + 2
    header = f'{deployment:28}' + ''.join(f'{name:>{width}}' for name in names)
    lines = [header]
    for figure_name in figures_by_policy[names[0]]:
        cells = (figures_by_policy[name][figure_name] for name in names)
        row = ''.join(f'{cell:>{width}g}' for cell in cells)
        lines.append(f'{figure_name:28}{row}')
    return '\n'.join(lines)


def verdicts(results: list[Target]) -> str:
    """Return a line for each target that says whether it is met."""
    lines = []
    for target in results:
        verdict = 'met' if target.is_met else 'MISSED'
        lines.append(
            f'  {verdict:7}{target.text}: '
            f'{target.measured:g} of {target.bound:g}'
        )
    return '\n'.join(lines)


def write(
    folder: pathlib.Path,
    seed: int,
    figures_by_deployment: dict[str, Figures],
    targets_by_deployment: dict[str, list[Target]],
) -> None:
    """Write the JSON file and the plot."""
    folder.mkdir(parents=True, exist_ok=True)
    document = {
        'seed': seed,
        'figures': figures_by_deployment,
        'targets': {
            name: [
                dataclasses.asdict(target) | {'is_met': target.is_met}
                for target in results
            ]
            for name, results in targets_by_deployment.items()
        },
    }
    path = folder / 'bench-policy.json'
    path.write_text(json.dumps(document, indent=2) + '\n')
    _plot(folder / 'bench-policy.png', figures_by_deployment)


def _plot(
    path: pathlib.Path, figures_by_deployment: dict[str, Figures]
) -> None:
    matplotlib.use('Agg')
    rows = len(figures_by_deployment)
    figure, axes = pyplot.subplots(
        rows, len(PLOTTED_FIGURES), figsize=(20, 4 * rows), squeeze=False
    )
    for row, (name, figures) in enumerate(figures_by_deployment.items()):
        for column, figure_name in enumerate(PLOTTED_FIGURES):
            axis = axes[row][column]
            values = [figures[policy][figure_name] for policy in figures]
            axis.bar(range(len(values)), values)
            axis.set_title(f'{name}: {figure_name}', fontsize=9)
            axis.set_xticks(
                range(len(values)), list(figures), rotation=45, fontsize=7
            )
    figure.tight_layout()
    figure.savefig(path)
