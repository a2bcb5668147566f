#!/usr/bin/env python3
"""Draws a slopes file: one SVG for each role, a panel for each slope.

usage: plot.py SLOPES.json FOLDER
"""

import json
import sys

import matplotlib

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "crowlink"
from matplotlib import pyplot  # noqa: E402


def draw_slope(axes, slope):
    sizes = [size for size, _ in slope["points"]]
    values = [value for _, value in slope["points"]]
    line = [slope["fixed"] + slope["per_unit"] * size for size in sizes]
    axes.plot(sizes, values, "o", label="measured")
    axes.plot(sizes, line, "-", label="line")
    axes.set_xscale("log")
    if min(values) > 0:
        axes.set_yscale("log")
    axes.set_title(slope["name"])
    axes.set_xlabel(slope["over"])
    axes.set_ylabel(slope["unit"])
    axes.legend()


def main():
    source, folder = sys.argv[1:]
    with open(source) as stream:
        slopes = json.load(stream)["slopes"]
    for role in sorted({slope["role"] for slope in slopes}):
        of_role = [slope for slope in slopes if slope["role"] == role]
        figure, panels = pyplot.subplots(
            len(of_role), 1, figsize=(7, 4 * len(of_role)), squeeze=False)
        for axes, slope in zip(panels[:, 0], of_role):
            draw_slope(axes, slope)
        figure.tight_layout()
        figure.savefig(f"{folder}/{role}.svg", metadata={"Date": None})


if __name__ == "__main__":
    main()
