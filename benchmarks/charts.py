"""Charts of benchmark results, as SVG files in ``docs/figures``."""

from pathlib import Path
from typing import Final

import matplotlib as mpl
from matplotlib import pyplot as plt

from benchmarks.fleet import VARIANTS, goodput_by_arrival, run_domain_case
from benchmarks.policies import POLICIES, Case, measure_case

__all__ = ['main']

FIGURES: Final = Path('docs/figures')
LOADS: Final = (0.7, 1.0, 1.3)
TIERS: Final = ('check', 'plan')
SIZE: Final = (7.0, 3.2)


def draw_goodput(site: str = 'kerlann') -> None:
    """Plot the goodput of two tiers against the load for each policy."""
    figure, axes = plt.subplots(1, len(TIERS), figsize=SIZE, sharey=True)
    for policy in POLICIES:
        summaries = [
            measure_case(Case(site, policy, load, 8)) for load in LOADS
        ]
        for tier, axis in zip(TIERS, axes, strict=True):
            goodput = [summary.goodput[tier] for summary in summaries]
            axis.plot(LOADS, goodput, marker='o', label=policy)
            axis.set_title(tier)
            axis.set_xlabel('load / capacity')
    axes[0].set_ylabel('goodput')
    axes[0].legend(fontsize='x-small')
    _save_figure(figure, 'goodput.svg')


def draw_evacuation(site: str = 'maclachlan') -> None:
    """Plot goodput over time while a failure domain is out and back."""
    figure, axes = plt.subplots(1, len(TIERS), figsize=SIZE, sharey=True)
    for variant in VARIANTS:
        simulation = run_domain_case(variant, site, load=0.6, seed=1)
        for tier, axis in zip(TIERS, axes, strict=True):
            goodput = goodput_by_arrival(simulation, tier)
            axis.plot(list(goodput), list(goodput.values()), label=variant.name)
            axis.set_title(tier)
            axis.set_xlabel('seconds; out at 30, back at 60')
    axes[0].set_ylabel('goodput')
    axes[0].legend(fontsize='x-small')
    _save_figure(figure, 'domain.svg')


def _save_figure(figure: plt.Figure, name: str) -> None:
    figure.tight_layout()
    figure.savefig(FIGURES / name, metadata={'Date': None})


def main() -> None:
    """Draw both charts.

    The hash salt and the missing date make the files reproducible.
    """
    mpl.use('svg')
    mpl.rcParams['svg.hashsalt'] = 'bluebellhub'
    FIGURES.mkdir(parents=True, exist_ok=True)
    draw_goodput()
    draw_evacuation()


if __name__ == '__main__':
    main()
