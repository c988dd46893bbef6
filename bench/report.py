"""Measured figures with their bounds, printed as JSON lines."""

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Figure:
    """One measured figure; `bound` is its maximum, or its minimum if `lowest` is set.

    The fields are written to the JSON line under these names.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    lowest: bool = False

    @property
    def holds(self):
        """Return whether the value is within its bound."""
        if self.bound is None:
            return True
        return self.value >= self.bound if self.lowest else self.value <= self.bound


def print_figure(figure):
    """Print a figure as a JSON line and return whether it is within its bound."""
    line = asdict(figure)
    line["value"] = round(figure.value, 4)
    line["holds"] = figure.holds
    print(json.dumps(line), flush=True)
    return figure.holds


def median(values):
    """Return the median, the upper one of an even number of values."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2]


def percentile(values, share):
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
