#!/usr/bin/env python3
"""Fault soak: the real programs under seeded faults from outside, in series and overlapping.

    tests/soak.py [--seed N] [--count N] [--seconds S] [--hosts N] [--targets N]

Plays count seeds from N on. While a seed is played, and after it, the promises are checked from
what targets and clients see: no task in two places, none begun again after an end that was taken
note of, no target over its capacity, no accepted job unknown or not ended, no cancelled job shown
as anything else. Ends only processes that it started. The same seed draws the same faults; their
effect depends on the machine's timing, so that a seed that failed is kept in REGRESSIONS. Without
arguments one seed is played, as part of make check.
"""
import argparse
import random
import signal
import sys
import os
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
from cell import Cell, Load, job  # noqa: E402

DOMAINS = ["bogota-a", "bogota-b", "bogota-c"]
BODIES = [job("check", "/checks/", 10, [4, 2], 150), job("rebuild", "/rebuild/", 3, [6, 6], 500),
          job("cancel", "/rebuild/", 1, [2], 4000)]
# Seeds that ever failed, each with its cause.
REGRESSIONS = []
SETTLE_S = 90
LOOK_S = 0.5


class Soak:
    """One seed: a cell, clients, faults and the checks."""

    def __init__(self, seed, options):
        self.seed, self.options = seed, options
        self.random = random.Random(seed)
        self.cell = Cell(DOMAINS, options.targets, options.hosts, proxied=True,
                         carry_from=self.random.choice([0, 1]))
        self.load = Load(self.cell, seed)
        self.problems = set()
        self.done = []
        self.over = threading.Event()

    # --- faults: each lasts a while and undoes itself ---

    def process(self):
        host = self.random.choice(self.cell.hosts)
        return host, self.random.choice(["poold", "frontd"])

    def kill(self, span):
        host, role = self.process()
        host.processes[role].send(signal.SIGKILL)
        host.processes[role].child.wait()
        time.sleep(span / 2)
        host.start(role)

    def kill_owner(self, span):
        host = self.cell.owner() or self.cell.hosts[0]
        host.processes["poold"].send(signal.SIGKILL)
        host.processes["poold"].child.wait()
        time.sleep(span / 2)
        host.start("poold")

    def terminate(self, span):
        host, role = self.process()
        host.processes[role].stop()
        time.sleep(span / 4)
        host.start(role)

    def pause(self, span):
        host, role = self.process()
        host.processes[role].send(signal.SIGSTOP)
        time.sleep(span)
        host.processes[role].send(signal.SIGCONT)

    def pause_owner(self, span):
        host = self.cell.owner() or self.cell.hosts[0]
        host.processes["poold"].send(signal.SIGSTOP)
        time.sleep(span)
        host.processes["poold"].send(signal.SIGCONT)

    def reload(self, span):
        for host in self.cell.hosts:
            for process in host.processes.values():
                process.send(signal.SIGHUP)
        time.sleep(span / 4)

    def power_loss(self, span):
        for host in self.cell.hosts:
            for process in host.processes.values():
                process.send(signal.SIGKILL)
                process.child.wait()
        time.sleep(span / 4)
        for host in self.cell.hosts:
            host.start("poold")
            host.start("frontd")

    def proxy(self, span):
        host = self.random.choice([self.cell.owner() or self.cell.hosts[0]] + self.cell.hosts)
        mode = self.random.choice(["refuse", "silent", "no_requests", "no_answers"])
        host.store_proxy.set(mode)
        time.sleep(span)
        host.store_proxy.set()

    def slow_proxies(self, span):
        for host in self.cell.hosts:
            host.store_proxy.set(delay_s=self.random.uniform(0.02, 0.15))
        time.sleep(span)
        for host in self.cell.hosts:
            host.store_proxy.set()

    def reset(self, span):
        for host in self.cell.hosts:
            host.store_proxy.reset_open()
        time.sleep(span / 4)

    def hush(self, span):
        for host in self.random.sample(self.cell.hosts, 2):
            host.store_proxy.hush_open()
        time.sleep(span / 2)

    def store(self, span):
        mode = self.random.choice(["busy", "silent"])
        self.cell.control_platform(mode=mode)
        time.sleep(span)
        self.cell.control_platform(mode="ok")

    def lose_answers(self, span):
        self.cell.control_platform(mode="ok", lose_per_mille=self.random.randrange(50, 300),
                                   late_ms=self.random.randrange(500, 3000))
        time.sleep(span)
        self.cell.control_platform(mode="ok", lose_per_mille=0, late_ms=0, forget=True)

    def target(self, span):
        fault = self.random.choice(["crash", "cut", "drain"])
        self.cell.control_target(self.random.randrange(self.options.targets), fault,
                                 int(span * 1000))
        time.sleep(span)

    def configuration(self, span):
        self.cell.configure()
        time.sleep(span / 4)

    FAULTS = [kill, kill_owner, terminate, pause, pause_owner, reload, power_loss, proxy, proxy,
              proxy, slow_proxies, reset, hush, store, lose_answers, target, target, configuration]

    def play_faults(self, end):
        """One series of faults; several run beside each other."""
        while time.monotonic() < end:
            fault = self.random.choice(self.FAULTS)
            span = self.random.uniform(0.3, 5.0)
            self.done.append("%s(%.1f)" % (fault.__name__, span))
            fault(self, span)
            time.sleep(self.random.uniform(0.0, 1.5))

    # --- checks ---

    def look(self):
        summary = self.cell.summary()
        for name in ("in_two_places", "begun_again", "over_capacity"):
            if summary and summary[name]:
                self.problems.add("%s: %d" % (name, summary[name]))
        for job_id, entry in list(self.load.jobs.items()):
            if entry["accepted"] and entry["state"] == "unknown":
                self.problems.add("accepted and not known: " + job_id)

    def watch(self):
        while not self.over.wait(LOOK_S):
            self.look()

    def cancel_some(self):
        for job_id, entry in list(self.load.jobs.items()):
            if entry["kind"] == "cancel" and entry["accepted"]:
                self.load.cancel(job_id)

    def check_end(self):
        left = self.load.settle(SETTLE_S)
        if left:
            self.problems.add("accepted and not ended: %d" % len(left))
        for job_id, entry in self.load.jobs.items():
            if entry["accepted"] and entry["state"] == "failed":
                self.problems.add("failed without a failure: " + job_id)
            if entry["accepted"] and entry["state"] == "cancelled" and entry["kind"] != "cancel":
                self.problems.add("cancelled by nobody: " + job_id)
        self.look()

    def run(self):
        """Returns the problems found."""
        try:
            self.cell.wait_ready()
            end = time.monotonic() + self.options.seconds
            series = [threading.Thread(target=self.play_faults, args=(end,)) for _ in range(2)]
            watcher = threading.Thread(target=self.watch)
            for thread in series + [watcher]:
                thread.start()
            self.load.run(self.options.seconds, 8, BODIES)
            for thread in series:
                thread.join()
            self.cancel_some()
            self.check_end()
            self.over.set()
            watcher.join()
        finally:
            self.over.set()
            self.cell.stop()
        return sorted(self.problems)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--targets", type=int, default=12)
    parser.add_argument("--regressions", action="store_true", help="play the kept seeds instead")
    options = parser.parse_args()
    failed = 0
    seeds = range(options.seed, options.seed + options.count)
    if options.regressions:
        seeds = REGRESSIONS
    for seed in seeds:
        soak = Soak(seed, options)
        problems = soak.run()
        accepted = sum(entry["accepted"] for entry in soak.load.jobs.values())
        print("[%s] soak seed=%d jobs=%d accepted=%d faults=%d %s" % (
            "  FAILED  " if problems else "       OK ", seed, len(soak.load.jobs), accepted, len(soak.done), "; ".join(problems) or "held"),
            flush=True)
        if problems:
            failed += 1
            print("  faults: %s\n  logs: %s" % (" ".join(soak.done), soak.cell.dir), flush=True)
    print("%d passed, %d failed" % (len(seeds) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
