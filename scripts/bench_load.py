#!/usr/bin/env python3
"""Waiting time of requests against load, on real daemons with stand-in targets.

Writes docs/load.csv: load in percent of the slots, stream, sent, done, not_run, and the waiting time
over the target's own time (WORK_MS) at p50, p99 and p99.9 in ms.
"""
import csv
import json
import os
import subprocess
import sys

from cell import BIN, ROOT, Cell

DOMAINS = ["bogota-a", "bogota-b", "bogota-c"]
SLOTS = 3 * 16 * 8
WORK_MS = 200
LOADS = [50, 80, 95, 120]
URGENT_PART = 0.2

TICKET = {
    "number": 1,
    "teams": [{"name": "citas", "share": 1, "limit": 3000},
              {"name": "prensa", "share": 1, "limit": 3000}],
    "queues": [{"name": "checks", "team": "citas", "priority": "urgent", "open": True},
               {"name": "info", "team": "prensa", "priority": "normal", "open": True}]}


def plan(load):
    per_minute = SLOTS * 1000 / WORK_MS * 60 * load / 100
    stream = {"kind": "request", "timeout_ms": 3000, "payload": json.dumps({"ms": WORK_MS})}
    return {"seed": load, "duration_ms": 10000, "settle_ms": 5000, "streams": [
        dict(stream, name="checks", queue="checks", per_minute=int(per_minute * URGENT_PART)),
        dict(stream, name="info", queue="info", per_minute=int(per_minute * (1 - URGENT_PART)))]}


def measure(cell, load):
    path = os.path.join(cell.dir, "plan.json")
    with open(path, "w") as file:
        json.dump(plan(load), file)
    urls = [part for host in cell.hosts for part in ("--url", host.url)]
    out = subprocess.run([os.path.join(BIN, "flamingo-bench"), "--json", "--records",
                          cell.targets_url, *urls, path], capture_output=True, text=True)
    return json.loads(out.stdout)


def main():
    rows = []
    for load in LOADS:
        cell = Cell(DOMAINS, hosts=3)
        try:
            cell.wait_ready()
            status, answer = cell.operate("POST", "/v1/tickets?wait_ms=6000", TICKET)
            assert status == 200, answer
            for r in measure(cell, load):
                wait = [max(r[p] - WORK_MS, 0) for p in ("p50_ms", "p99_ms", "p999_ms")]
                rows.append([load, r["stream"], r["sent"], r["done"], r["not_run"], r["unknown"],
                             *("%.1f" % w for w in wait)])
                print("load %d%% %-7s sent %d done %d not_run %d unknown %d wait p50 %.1f p99 %.1f "
                      "p99.9 %.1f ms" % (load, r["stream"], r["sent"], r["done"], r["not_run"],
                                         r["unknown"], *wait), flush=True)
        finally:
            cell.stop()
    with open(os.path.join(ROOT, "docs", "load.csv"), "w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(["load", "stream", "sent", "done", "not_run", "unknown", "p50_ms", "p99_ms",
                         "p999_ms"])
        writer.writerows(rows)


if __name__ == "__main__":
    sys.exit(main())
