"""Pictures of an experiment as PNG files."""

import math
import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402 - after the choice of backend
from matplotlib.axes import Axes  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402
from matplotlib.ticker import FuncFormatter, LogLocator, NullFormatter  # noqa: E402

from ..latency_histogram import LatencyHistogram  # noqa: E402
from .plot_groups import (  # noqa: E402
    FLOOR_LABEL,
    LatencyGroup,
    StripGroup,
)
from .run_result import RunResult  # noqa: E402

DOTS_PER_INCH = 110
PANEL_WIDTH_INCHES = 4.4
PANEL_HEIGHT_INCHES = 3.4
MOST_COLUMNS = 3
STRIP_WIDTH_INCHES = 9.5
STRIP_ROW_INCHES = 0.34
STRIP_MARGIN_INCHES = 1.3
MOST_TICK_LABELS = 10

MILLISECONDS = 1000.0
SHOWN_SHARES = (0.0, 0.5, 0.9, 0.99, 0.999)
"""Ticks of the axis of shares, which gives each further nine the same height."""
GREATEST_SHARE = 0.9997

FLOOR_COLOUR = "#8c8c8c"
COLOURS = ("#0b6fa4", "#d1495b", "#3c8d40", "#8a5fb0", "#e08e0b", "#4a4a4a", "#17a2a2", "#b04f8f")
LINE_STYLES = ("-", "--", "-.", ":")


@dataclass(frozen=True, slots=True)
class Picture:
    """A written picture and what stands beneath it."""

    file_name: str
    caption: str


def plot_latencies(group: LatencyGroup, directory: Path, file_name: str) -> Picture:
    """Draw the distribution of latency of each kind of request, one line for each scenario."""
    columns = min(MOST_COLUMNS, len(group.kinds))
    rows = math.ceil(len(group.kinds) / columns)
    size = (PANEL_WIDTH_INCHES * columns, PANEL_HEIGHT_INCHES * rows + 0.8)
    figure, panels = plt.subplots(rows, columns, figsize=size, squeeze=False)
    flat: list[Axes] = list(panels.flat)
    for axes, kind in zip(flat, group.kinds, strict=False):
        _draw_kind(axes, kind, group.runs_by_label)
    for axes in flat[len(group.kinds) :]:
        axes.set_axis_off()
    handles, labels = flat[0].get_legend_handles_labels()
    figure.suptitle(group.title)
    figure.legend(handles, labels, loc="outside lower center", ncols=min(4, len(labels)))
    caption = f"{group.title}. Share of answered requests that took at most so long, all seeds."
    return _save(figure, directory, file_name, caption)


def _draw_kind(axes: Axes, kind: str, runs_by_label: Mapping[str, Sequence[RunResult]]) -> None:
    styles = _styles(list(runs_by_label))
    for label, runs in runs_by_label.items():
        pooled = LatencyHistogram()
        for run in runs:
            if kind in run.latencies:
                pooled.add_encoded(run.latencies[kind])
        milliseconds, shares = pooled.distribution()
        heights = [_height(share) for share in shares]
        colour, line_style = styles[label]
        axes.step(
            milliseconds,
            heights,
            where="post",
            label=label,
            color=colour,
            linestyle=line_style,
            linewidth=1.6,
        )
    axes.set_title(kind, fontsize=10)
    axes.set_xscale("log")
    axes.xaxis.set_major_locator(LogLocator(subs=(1.0, 2.0, 5.0)))
    axes.xaxis.set_major_formatter(FuncFormatter(lambda value, _: f"{value:g}"))
    axes.xaxis.set_minor_formatter(NullFormatter())
    axes.tick_params(axis="x", labelsize=8)
    axes.set_xlabel("latency, ms")
    axes.set_ylabel("share answered")
    axes.set_yticks(
        [_height(share) for share in SHOWN_SHARES],
        [f"{100 * share:g}%" for share in SHOWN_SHARES],
    )
    axes.set_ylim(0, _height(GREATEST_SHARE))
    axes.grid(alpha=0.3)


def _styles(labels: Sequence[str]) -> dict[str, tuple[str, str]]:
    """Return colour and line style by label; the floor is grey in every picture."""
    styles: dict[str, tuple[str, str]] = {}
    for label in labels:
        number = len(styles)
        colour = COLOURS[number % len(COLOURS)]
        styles[label] = (colour, LINE_STYLES[number // len(COLOURS) % len(LINE_STYLES)])
    if FLOOR_LABEL in styles:
        styles[FLOOR_LABEL] = (FLOOR_COLOUR, "--")
    return styles


def _height(share: float) -> float:
    return -math.log10(1.0 - min(share, GREATEST_SHARE))


def plot_strip(group: StripGroup, directory: Path, file_name: str) -> Picture:
    """Draw one value for each run, a row for each scenario, with the median marked."""
    height = STRIP_MARGIN_INCHES + STRIP_ROW_INCHES * len(group.rows)
    figure, axes = plt.subplots(figsize=(STRIP_WIDTH_INCHES, height))
    labels = list(group.rows)
    for row, label in enumerate(labels):
        values = sorted(value * group.factor for value in group.rows[label])
        axes.plot(values, [row] * len(values), "o", color=COLOURS[0], alpha=0.55, markersize=6)
        axes.plot([statistics.median(values)], [row], "|", color="black", markersize=15, mew=2)
    if group.aim is not None:
        aim = group.aim * group.factor
        axes.axvline(aim, color=COLOURS[1], linestyle="--", linewidth=1.2, label=f"aim {aim:g}")
        axes.legend(loc="best", fontsize=8)
    axes.set_yticks(range(len(labels)), labels, fontsize=8)
    axes.set_ylim(len(labels) - 0.5, -0.5)
    if group.log_threshold is not None:
        _spread_logarithmically(axes, group)
    axes.set_xlabel(group.axis_label)
    axes.set_title(group.title, fontsize=11)
    axes.grid(alpha=0.3)
    caption = f"{group.title}. One dot for each seed; the bar is the median."
    return _save(figure, directory, file_name, caption)


def _spread_logarithmically(axes: Axes, group: StripGroup) -> None:
    threshold = group.log_threshold or 1.0
    greatest = max((max(values) for values in group.rows.values()), default=0.0) * group.factor
    greatest = max(greatest, threshold)
    ticks = [0.0]
    power = threshold
    while power < greatest * 2:
        ticks += [power, 2 * power, 5 * power]
        power *= 10
    axes.set_xscale("symlog", linthresh=threshold)
    # Over many decades there is no room for each number.
    shown = ticks if len(ticks) <= MOST_TICK_LABELS else [0.0, *ticks[1::3]]
    labels = [f"{tick:g}" if tick in shown else "" for tick in ticks]
    axes.set_xticks(ticks, labels, fontsize=8)
    axes.set_xticks([], minor=True)
    axes.set_xlim(-threshold / 5, greatest * 1.5)


def plot_convergence(
    seconds_by_label: Mapping[str, Sequence[float]], directory: Path, file_name: str
) -> Picture:
    """Draw how long after its confirm a configuration was in force, over nodes and revisions."""
    figure, axes = plt.subplots(figsize=(STRIP_WIDTH_INCHES, 4.4))
    for index, (label, seconds) in enumerate(seconds_by_label.items()):
        ordered = sorted(value * MILLISECONDS for value in seconds)
        shares = [(position + 1) / len(ordered) for position in range(len(ordered))]
        axes.step(
            ordered,
            shares,
            where="post",
            label=f"{label} ({len(ordered)})",
            color=COLOURS[index % len(COLOURS)],
            linewidth=1.6,
        )
    axes.set_xlabel("milliseconds from the confirm until a node goes by the configuration")
    axes.set_ylabel("share of nodes and revisions")
    axes.set_ylim(0, 1.02)
    axes.set_xlim(left=0)
    axes.set_title("Convergence of the configuration", fontsize=11)
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    caption = "Convergence of the configuration; in brackets, the number of nodes and revisions."
    return _save(figure, directory, file_name, caption)


def _save(figure: Figure, directory: Path, file_name: str, caption: str) -> Picture:
    figure.set_layout_engine("constrained")
    figure.savefig(directory / file_name, dpi=DOTS_PER_INCH)
    plt.close(figure)
    return Picture(file_name, caption)
