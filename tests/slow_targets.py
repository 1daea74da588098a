#!/usr/bin/env python3
"""Real processes and targets that reply late: how long jobs wait, and what becomes of their runs.

Requests are executed as they arrive, and the replies are delayed. The load is light. Exit status 1
if a job had no task started 3 s after its acceptance, a lease lapsed, a task was stopped and ran
again, or a rule was broken.
"""
import argparse
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))),
                                "scripts"))
from cell import Cell, LoadGenerator, job  # noqa: E402

LONGEST_WAIT_S = 3.0
FOREVER_S = 1e5


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--delay-ms", type=int, default=0)
    parser.add_argument("--share", type=float, default=1, help="share of the targets that are slow")
    parser.add_argument("--from-s", type=float, default=0, help="0: from before their first reply")
    parser.add_argument("--for-s", type=float, default=FOREVER_S)
    parser.add_argument("--targets", type=int, default=12)
    parser.add_argument("--carry-from", type=int, default=0, help="forwards orders from so many targets")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--rate", type=float, default=3.0)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


class StartWatcher:
    """Notes when jobs are accepted and first started, to about 0.1 s."""

    def __init__(self, cell, clients):
        self.cell, self.clients = cell, clients
        self.accepted_at, self.started_at = {}, {}
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.watch)
        self.thread.start()

    def watch(self):
        after = 0
        while not self.ended.wait(0.05):
            now = time.monotonic()
            for name, entry in self.clients.snapshot().items():
                if entry["accepted"]:
                    self.accepted_at.setdefault(name, now)
            names = self.cell.started_jobs(after)
            after += len(names)
            for name in names:
                self.started_at.setdefault(name, now)

    def stop(self):
        """Returns the waits of all accepted jobs in s; the time until now for those without a start."""
        self.ended.set()
        self.thread.join()
        now = time.monotonic()
        return sorted(max(self.started_at.get(name, now) - at, 0)
                      for name, at in self.accepted_at.items())

    def unstarted(self):
        return sum(name not in self.started_at for name in self.accepted_at)


def slow_down(cell, options):
    for target in range(round(options.targets * options.share)):
        cell.control_target(target, "slow", int(options.for_s * 1000), delay_ms=options.delay_ms)


def main():
    options = parse_options()
    cell = Cell(["a", "b", "c"], targets=options.targets, hosts=3, carry_from=options.carry_from)
    kinds = [job("short", "/rebuild/", 5, [3], 300, 200), job("steps", "/feeds/", 3, [2, 2], 500, 300),
             job("long", "/rebuild/", 2, [2], 4000, 300)]
    clients = LoadGenerator(cell, options.seed)
    try:
        if options.from_s == 0:
            slow_down(cell, options)
        cell.wait_until_ready()
        time.sleep(3)
        watcher = StartWatcher(cell, clients)
        if options.from_s > 0:
            threading.Timer(options.from_s, slow_down, (cell, options)).start()
        clients.run(options.seconds, options.rate, kinds)
        time.sleep(10)
        waits = watcher.stop()
        unfinished = len(clients.wait_for_jobs(5))
        summary = cell.summary()
        ended_by_itself = [process.name for host in cell.hosts for process in host.started_processes
                           if process.ended_by_itself()]
    finally:
        cell.stop()
    late = sum(wait > LONGEST_WAIT_S for wait in waits)
    lost = summary["starts"] - summary["done"] - summary["running"]
    print("delay=%d share=%.2f from=%.0f for=%.0f carry=%d: jobs=%d late=%d unstarted=%d median=%.2f "
          "longest=%.2f unfinished=%d starts=%d lost_runs=%d lapsed=%d in_two_places=%d begun_again=%d "
          "over_capacity=%d ended=%s %s"
          % (options.delay_ms, options.share, options.from_s, options.for_s, options.carry_from,
             len(waits), late, watcher.unstarted(), waits[len(waits) // 2], waits[-1], unfinished,
             summary["starts"], lost, summary["lapsed"], summary["in_two_places"],
             summary["begun_again"], summary["over_capacity"], ended_by_itself, cell.work_dir))
    return 1 if late or lost or summary["lapsed"] or summary["in_two_places"] \
        or summary["begun_again"] or summary["over_capacity"] or ended_by_itself else 0


if __name__ == "__main__":
    sys.exit(main())
