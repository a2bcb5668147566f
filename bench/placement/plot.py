#!/usr/bin/env python3
"""Draws placement reports: broken flows, balance and tail for each arm.

usage: plot.py REPORT.json... (writes REPORT.svg beside each)
"""

import json
import sys

import matplotlib

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "crowlink"
from matplotlib import pyplot  # noqa: E402

PANELS = [
    ("broken flows, planned", lambda arm: arm["broken_planned"]),
    ("refused for good", lambda arm: arm["refused_for_good"]),
    ("open flows: max over mean, average",
     lambda arm: max(one["flows_mean"] for one in arm["balance"])),
    ("open flows: max over mean, worst",
     lambda arm: max(one["flows_worst"] for one in arm["balance"])),
    ("99th percentile of time to answer, ms",
     lambda arm: 1000 * arm["answer_p99_seconds"]),
]


def draw(source):
    with open(source) as stream:
        report = json.load(stream)
    names = [arm["arm"] for arm in report["arms"]]
    figure, panels = pyplot.subplots(len(PANELS), 1, figsize=(8, 14))
    for axes, (title, value) in zip(panels, PANELS):
        values = [value(arm) for arm in report["arms"]]
        axes.barh(names, values)
        axes.invert_yaxis()
        axes.set_title(title)
        for row, number in enumerate(values):
            axes.text(number, row, f" {number:.4g}", va="center")
    figure.suptitle(report["experiment"])
    figure.tight_layout()
    figure.savefig(source.rsplit(".", 1)[0] + ".svg", metadata={"Date": None})


def main():
    for source in sys.argv[1:]:
        draw(source)


if __name__ == "__main__":
    main()
