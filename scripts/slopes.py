#!/usr/bin/env python3
"""Measures slopes with bench-core and fits them: writes docs/slopes.csv and prints the fits.

Each row of slopes.csv is what,size,value,unit. A fit is a straight line by least squares; the
residual is the largest distance of a point from it, in percent of that point.
"""
import collections
import os
import subprocess

from cell import BIN, ROOT

PROJECT = {"memory_targets": 1900, "tick_targets": 1900, "memory_tasks": 7600, "tick_tasks": 7600,
           "message_status_domains": 11, "message_vote_domains": 11, "message_status_teams": 76,
           "apply_tickets": 1100, "memory_tickets": 1100}


def fit(points):
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    return slope, mean_y - slope * mean_x


def main():
    out = subprocess.run([os.path.join(BIN, "bench-core"), "slopes"], check=True,
                         capture_output=True, text=True).stdout
    with open(os.path.join(ROOT, "docs", "slopes.csv"), "w") as file:
        file.write("what,size,value,unit\n" + out)
    series = collections.OrderedDict()
    units = {}
    for line in out.splitlines():
        what, size, value, unit = line.split(",")
        series.setdefault(what, []).append((float(size), float(value)))
        units[what] = unit
    for what, points in series.items():
        slope, base = fit(points)
        residual = max(abs(y - slope * x - base) / y * 100 for x, y in points if y)
        size = PROJECT.get(what, points[-1][0])
        print("%-24s %10.1f %s each + %.0f; residual %.1f %%; at %d: %.0f %s" % (
            what, slope, units[what], base, residual, size, slope * size + base, units[what]))


if __name__ == "__main__":
    main()
