#!/usr/bin/env python3
"""Demo: runs a cell on loopback for the beverage marketplace.

Starts stand-ins and three hosts, submits slot checks, agenda rebuilds and a long-running feed, and
kills the owner of the pool meanwhile. Reports how many accepted jobs did not end and, as counted by
the targets, how many tasks ran twice.
"""
import signal
import statistics
import sys
import threading
import time

from cell import Cell, LoadGenerator, job, wait_for

JOB_KINDS = [job("check", "/checks/", 12, [4, 2], 120), job("rebuild", "/rebuild/", 3, [8, 8], 400),
             job("gang", "/rebuild/", 1, [4], 300, gang=True)]
FEED_JOB = job("lasts", "/feeds/", 1, [6], -1, cpu_milli=500, longRunning=True)


def print_step(text):
    print("== " + text, flush=True)


def kill_owner(cell):
    time.sleep(4)
    owner = cell.owner()
    owner.processes["poold"].signal_child(signal.SIGKILL)
    killed_at = time.monotonic()
    print_step("killed the owner of the pool, %s" % owner.name)
    wait_for(lambda: any(host.owns_pool() for host in cell.hosts if host is not owner), 20,
             "a new owner")
    print_step("the pool has a new owner after %.1f s" % (time.monotonic() - killed_at))
    owner.start("poold")


def report(load, unfinished, summary):
    print("%-8s %6s %9s %7s %9s %9s" % ("KIND", "SENT", "ACCEPTED", "ENDED", "P50 MS", "P95 MS"))
    for kind in sorted({entry["kind"] for entry in load.jobs.values()}):
        entries = [e for e in load.jobs.values() if e["kind"] == kind]
        durations_ms = sorted(1000 * (e["ended"] - e["sent"]) for e in entries if e["ended"])
        percentiles = (statistics.quantiles(durations_ms, n=20) if len(durations_ms) > 1
                       else [0] * 19)
        print("%-8s %6d %9d %7d %9.0f %9.0f" % (kind, len(entries), sum(
            e["accepted"] for e in entries), len(durations_ms), percentiles[9], percentiles[18]))
    lost = len(unfinished)
    doubled = summary["in_two_places"] + summary["begun_again"]
    print("targets: %s" % summary)
    done = sum(e["state"] == "completed" for e in load.jobs.values())
    print("demo: jobs=%d done=%d lost=%d doubled=%d" % (
        sum(e["accepted"] for e in load.jobs.values() if e["kind"] != "lasts"), done, lost,
        doubled + summary["over_capacity"]))
    return 1 if lost or doubled or summary["over_capacity"] else 0


def main():
    print_step("starting a platform, 12 targets and 3 hosts on loopback")
    cell = Cell(["bogota-a", "bogota-b", "bogota-c"])
    try:
        cell.wait_until_ready()
        load = LoadGenerator(cell)
        feed_id = load.submit_job(FEED_JOB["prefix"], FEED_JOB)
        print_step("submitting jobs")
        kill_thread = threading.Thread(target=kill_owner, args=(cell,))
        kill_thread.start()
        load.run(12, 12, JOB_KINDS)
        kill_thread.join()
        unfinished = load.wait_for_jobs(60)
        load.query_state(feed_id)
        print("long-running feed: %s, %d tasks running" % (load.jobs[feed_id]["state"],
                                                           cell.summary()["running"]))
        return report(load, unfinished, cell.summary())
    finally:
        cell.stop()


if __name__ == "__main__":
    sys.exit(main())
