#!/usr/bin/env python3
"""Soak test: the real programs under random faults, one after another and overlapping.

    tests/soak.py [--seed N] [--count N] [--seconds S] [--hosts N] [--targets N] [--regressions]

Runs --count seeds from --seed on. During and after each run it checks, by what targets and clients
see, that no task runs on two targets at once or starts again after its completion was acknowledged,
that no target exceeds its capacity, that accepted jobs stay known, end and do not fail, and that
only jobs of the kind that the test cancels are shown as cancelled. It signals only processes that
it started. A seed determines the random choices, but their order across threads and the effect of
the faults depend on timing, so a seed that failed is kept in REGRESSIONS. Without arguments, as in
make check, one seed is run.
"""
import argparse
import random
import signal
import sys
import os
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
from cell import Cell, LoadGenerator, job  # noqa: E402

DOMAINS = ["bogota-a", "bogota-b", "bogota-c"]
JOB_KINDS = [job("check", "/checks/", 10, [4, 2], 150), job("rebuild", "/rebuild/", 3, [6, 6], 500),
             job("cancel", "/rebuild/", 1, [2], 4000)]
# Seeds of past failures, each with its cause.
REGRESSIONS = []
COMPLETION_TIMEOUT_S = 90
CHECK_INTERVAL_S = 0.5


class Soak:
    """The run of one seed: a cell, its load, the injected faults and the checks."""

    def __init__(self, seed, options):
        self.seed, self.options = seed, options
        self.random = random.Random(seed)
        self.cell = Cell(DOMAINS, options.targets, options.hosts, uses_store_proxies=True,
                         carry_from=self.random.choice([0, 1]))
        self.load = LoadGenerator(self.cell, seed)
        self.problems = set()
        self.played_faults = []
        self.finished = threading.Event()

    # --- faults: each method injects one fault, waits and reverts it ---

    def process(self):
        """Returns a random host and role."""
        host = self.random.choice(self.cell.hosts)
        return host, self.random.choice(["poold", "frontd"])

    def kill_process(self, duration_s):
        host, role = self.process()
        host.processes[role].signal_child(signal.SIGKILL)
        host.processes[role].child.wait()
        time.sleep(duration_s / 2)
        host.start(role)

    def kill_owner(self, duration_s):
        host = self.cell.owner() or self.cell.hosts[0]
        host.processes["poold"].signal_child(signal.SIGKILL)
        host.processes["poold"].child.wait()
        time.sleep(duration_s / 2)
        host.start("poold")

    def restart_process(self, duration_s):
        host, role = self.process()
        host.processes[role].stop()
        time.sleep(duration_s / 4)
        host.start(role)

    def pause_process(self, duration_s):
        host, role = self.process()
        host.processes[role].signal_child(signal.SIGSTOP)
        time.sleep(duration_s)
        host.processes[role].signal_child(signal.SIGCONT)

    def pause_owner(self, duration_s):
        host = self.cell.owner() or self.cell.hosts[0]
        host.processes["poold"].signal_child(signal.SIGSTOP)
        time.sleep(duration_s)
        host.processes["poold"].signal_child(signal.SIGCONT)

    def reload_settings(self, duration_s):
        for host in self.cell.hosts:
            for process in host.processes.values():
                process.signal_child(signal.SIGHUP)
        time.sleep(duration_s / 4)

    def kill_all_processes(self, duration_s):
        for host in self.cell.hosts:
            for process in host.processes.values():
                process.signal_child(signal.SIGKILL)
                process.child.wait()
        time.sleep(duration_s / 4)
        for host in self.cell.hosts:
            host.start("poold")
            host.start("frontd")

    def disrupt_store_proxy(self, duration_s):
        host = self.random.choice([self.cell.owner() or self.cell.hosts[0]] + self.cell.hosts)
        mode = self.random.choice(["refuse", "silent", "no_requests", "no_answers"])
        host.store_proxy.set(mode)
        time.sleep(duration_s)
        host.store_proxy.set()

    def delay_store_proxies(self, duration_s):
        for host in self.cell.hosts:
            host.store_proxy.set(delay_s=self.random.uniform(0.02, 0.15))
        time.sleep(duration_s)
        for host in self.cell.hosts:
            host.store_proxy.set()

    def reset_store_connections(self, duration_s):
        for host in self.cell.hosts:
            host.store_proxy.reset_open_connections()
        time.sleep(duration_s / 4)

    def silence_store_connections(self, duration_s):
        for host in self.random.sample(self.cell.hosts, 2):
            host.store_proxy.silence_open_connections()
        time.sleep(duration_s / 2)

    def disrupt_store(self, duration_s):
        mode = self.random.choice(["busy", "silent"])
        self.cell.control_platform(mode=mode)
        time.sleep(duration_s)
        self.cell.control_platform(mode="ok")

    def lose_store_replies(self, duration_s):
        self.cell.control_platform(mode="ok", lose_per_mille=self.random.randrange(50, 300),
                                   late_ms=self.random.randrange(500, 3000))
        time.sleep(duration_s)
        self.cell.control_platform(mode="ok", lose_per_mille=0, late_ms=0, forget=True)

    def target(self, duration_s):
        """Crashes, cuts off or drains a random target. Draining lasts until a crash."""
        fault = self.random.choice(["crash", "cut", "drain"])
        self.cell.control_target(self.random.randrange(self.options.targets), fault,
                                 int(duration_s * 1000))
        time.sleep(duration_s)

    def update_configuration(self, duration_s):
        self.cell.configure()
        time.sleep(duration_s / 4)

    # A fault that is listed several times is chosen more often.
    FAULTS = [kill_process, kill_owner, restart_process, pause_process, pause_owner,
              reload_settings, kill_all_processes, disrupt_store_proxy, disrupt_store_proxy,
              disrupt_store_proxy, delay_store_proxies, reset_store_connections,
              silence_store_connections, disrupt_store, lose_store_replies, target, target,
              update_configuration]

    def inject_faults(self, deadline):
        """Injects random faults one after another; runs in several threads at once."""
        while time.monotonic() < deadline:
            fault = self.random.choice(self.FAULTS)
            duration_s = self.random.uniform(0.3, 5.0)
            self.played_faults.append("%s(%.1f)" % (fault.__name__, duration_s))
            fault(self, duration_s)
            time.sleep(self.random.uniform(0.0, 1.5))

    # --- checks ---

    def check_invariants(self):
        summary = self.cell.summary()
        for name in ("in_two_places", "begun_again", "over_capacity"):
            if summary and summary[name]:
                self.problems.add("%s: %d" % (name, summary[name]))
        for job_id, entry in list(self.load.jobs.items()):
            if entry["accepted"] and entry["state"] == "unknown":
                self.problems.add("accepted job is unknown: " + job_id)

    def check_periodically(self):
        while not self.finished.wait(CHECK_INTERVAL_S):
            self.check_invariants()

    def cancel_jobs(self):
        for job_id, entry in list(self.load.jobs.items()):
            if entry["kind"] == "cancel" and entry["accepted"]:
                self.load.cancel(job_id)

    def check_final_states(self):
        unfinished = self.load.wait_for_jobs(COMPLETION_TIMEOUT_S)
        if unfinished:
            self.problems.add("accepted jobs that did not end: %d" % len(unfinished))
        for job_id, entry in self.load.jobs.items():
            if entry["accepted"] and entry["state"] == "failed":
                self.problems.add("job failed although none of its tasks fails: " + job_id)
            if entry["accepted"] and entry["state"] == "cancelled" and entry["kind"] != "cancel":
                self.problems.add("job cancelled without a request: " + job_id)
        self.check_invariants()

    def run(self):
        """Runs the seed and returns the problems found."""
        try:
            self.cell.wait_until_ready()
            deadline = time.monotonic() + self.options.seconds
            fault_threads = [threading.Thread(target=self.inject_faults, args=(deadline,))
                             for _ in range(2)]
            check_thread = threading.Thread(target=self.check_periodically)
            for thread in fault_threads + [check_thread]:
                thread.start()
            self.load.run(self.options.seconds, 8, JOB_KINDS)
            for thread in fault_threads:
                thread.join()
            self.cancel_jobs()
            self.check_final_states()
            self.finished.set()
            check_thread.join()
        finally:
            self.finished.set()
            self.cell.stop()
        return sorted(self.problems)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--targets", type=int, default=12)
    parser.add_argument("--regressions", action="store_true",
                        help="run the seeds in REGRESSIONS instead")
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
            "  FAILED  " if problems else "       OK ", seed, len(soak.load.jobs), accepted,
            len(soak.played_faults), "; ".join(problems) or "held"), flush=True)
        if problems:
            failed += 1
            print("  faults: %s\n  logs: %s" % (" ".join(soak.played_faults), soak.cell.work_dir),
                  flush=True)
    print("%d passed, %d failed" % (len(seeds) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
