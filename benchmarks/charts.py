"""Charts of the measurements, as SVG files in ``docs/figures``."""

from pathlib import Path
from typing import Final

import matplotlib as mpl
from matplotlib import pyplot as plt

from benchmarks.fleet import VARIANTS, by_second, play_domain
from benchmarks.policies import PLANS, Case, measure

__all__ = ['main']

FIGURES: Final = Path('docs/figures')
LOADS: Final = (0.7, 1.0, 1.3)
TIERS: Final = ('check', 'plan')
SIZE: Final = (7.0, 3.2)


def draw_load(site: str = 'kerlann') -> None:
    """Draw goodput of two tiers against load, for each policy."""
    figure, axes = plt.subplots(1, len(TIERS), figsize=SIZE, sharey=True)
    for policy in PLANS:
        found = [measure(Case(site, policy, load, 8)) for load in LOADS]
        for tier, axis in zip(TIERS, axes, strict=True):
            goodput = [summary.goodput[tier] for summary in found]
            axis.plot(LOADS, goodput, marker='o', label=policy)
            axis.set_title(tier)
            axis.set_xlabel('load / capacity')
    axes[0].set_ylabel('goodput')
    axes[0].legend(fontsize='x-small')
    _save(figure, 'goodput.svg')


def draw_domain(site: str = 'maclachlan') -> None:
    """Draw goodput while a failure domain leaves and returns."""
    figure, axes = plt.subplots(1, len(TIERS), figsize=SIZE, sharey=True)
    for variant in VARIANTS:
        bench = play_domain(variant, site, load=0.6, seed=1)
        for tier, axis in zip(TIERS, axes, strict=True):
            found = by_second(bench, tier)
            axis.plot(list(found), list(found.values()), label=variant.name)
            axis.set_title(tier)
            axis.set_xlabel('seconds; out at 30, back at 60')
    axes[0].set_ylabel('goodput')
    axes[0].legend(fontsize='x-small')
    _save(figure, 'domain.svg')


def _save(figure: plt.Figure, name: str) -> None:
    figure.tight_layout()
    figure.savefig(FIGURES / name, metadata={'Date': None})


def main() -> None:
    """Draw both charts."""
    mpl.use('svg')
    mpl.rcParams['svg.hashsalt'] = 'bluebellhub'
    FIGURES.mkdir(parents=True, exist_ok=True)
    draw_load()
    draw_domain()


if __name__ == '__main__':
    main()
