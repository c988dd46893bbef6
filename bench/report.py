"""Figures as JSON lines, each with its bound."""

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Figure:
    """One measured figure; `bound` is its highest (or lowest) allowed value."""

    name: str
    value: float
    unit: str
    bound: float | None = None
    lowest: bool = False

    @property
    def holds(self):
        """Tell whether the bound is kept."""
        if self.bound is None:
            return True
        return self.value >= self.bound if self.lowest else self.value <= self.bound


def show(figure):
    """Print one figure; returns whether it holds."""
    line = asdict(figure)
    line["value"] = round(figure.value, 4)
    line["holds"] = figure.holds
    print(json.dumps(line), flush=True)
    return figure.holds


def median(values):
    """The middle of some values."""
    ranked = sorted(values)
    return ranked[len(ranked) // 2]


def percentile(values, share):
    """The value below which a share of the values lies."""
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(len(ranked) * share))]
