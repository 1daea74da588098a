#!/usr/bin/env python3
"""The demo: a cell on loopback for the beverage marketplace.

Starts stand-ins and three hosts, hands in slot checks, agenda rebuilds and a standing feed, kills the
owner of the pool on the way, and reckons from what the targets saw what was lost or doubled.
"""
import signal
import statistics
import sys
import threading
import time

from cell import Cell, Load, job, wait_for

BODIES = [job("check", "/checks/", 12, [4, 2], 120), job("rebuild", "/rebuild/", 3, [8, 8], 400),
          job("gang", "/rebuild/", 1, [4], 300, gang=True)]
FEED = job("lasts", "/feeds/", 1, [6], -1, cpu=500, longRunning=True)


def step(text):
    print("== " + text, flush=True)


def kill_the_owner(cell):
    time.sleep(4)
    owner = cell.owner()
    owner.processes["poold"].send(signal.SIGKILL)
    killed = time.monotonic()
    step("killed the owner of the pool, %s" % owner.name)
    wait_for(lambda: any(h.owns_pool() for h in cell.hosts if h is not owner), 20, "a new owner")
    step("the pool has a new owner after %.1f s" % (time.monotonic() - killed))
    owner.start("poold")


def report(load, left, summary):
    print("%-8s %6s %9s %7s %9s %9s" % ("KIND", "SENT", "ACCEPTED", "ENDED", "P50 MS", "P95 MS"))
    for kind in sorted({entry["kind"] for entry in load.jobs.values()}):
        entries = [e for e in load.jobs.values() if e["kind"] == kind]
        times = sorted(1000 * (e["ended"] - e["sent"]) for e in entries if e["ended"])
        quantile = statistics.quantiles(times, n=20) if len(times) > 1 else [0] * 19
        print("%-8s %6d %9d %7d %9.0f %9.0f" % (kind, len(entries), sum(
            e["accepted"] for e in entries), len(times), quantile[9], quantile[18]))
    lost = len(left)
    doubled = summary["in_two_places"] + summary["begun_again"]
    print("targets: %s" % summary)
    done = sum(e["state"] == "completed" for e in load.jobs.values())
    print("demo: jobs=%d done=%d lost=%d doubled=%d" % (
        sum(e["accepted"] for e in load.jobs.values() if e["kind"] != "lasts"), done, lost,
        doubled + summary["over_capacity"]))
    return 1 if lost or doubled or summary["over_capacity"] else 0


def main():
    step("starting a platform, 12 targets and 3 hosts on loopback")
    cell = Cell(["bogota-a", "bogota-b", "bogota-c"])
    try:
        cell.wait_ready()
        load = Load(cell)
        feed = load.hand_in(FEED["prefix"], FEED)
        step("sending load")
        killer = threading.Thread(target=kill_the_owner, args=(cell,))
        killer.start()
        load.run(12, 12, BODIES)
        killer.join()
        left = load.settle(60)
        load.ask(feed)
        print("standing feed: %s, %d tasks running" % (load.jobs[feed]["state"],
                                                       cell.summary()["running"]))
        return report(load, left, cell.summary())
    finally:
        cell.stop()


if __name__ == "__main__":
    sys.exit(main())
