#!/usr/bin/env python3
"""The demo: a cell on loopback for the beverage marketplace of examples/rueda.

Starts stand-ins and three entry hosts, applies the tickets, runs requests, jobs and a service, kills
a scheduler on the way, and reckons from the targets' own records what was lost or doubled.
"""
import json
import os
import signal
import subprocess
import sys
import threading
import time

from cell import BIN, ROOT, Cell, wait_for

EXAMPLE = os.path.join(ROOT, "examples", "rueda")


def step(text):
    print("== " + text, flush=True)


def ctl(cell, *arguments, key=None):
    out = subprocess.run([os.path.join(BIN, "flamingoctl"), *arguments, "--url", cell.hosts[0].url,
                          "--key", key or cell.operator_key], capture_output=True, text=True)
    if out.returncode != 0:
        raise RuntimeError("flamingoctl %s: %s%s" % (" ".join(arguments), out.stdout, out.stderr))
    return out.stdout


def run_load(cell, keys):
    with open(os.path.join(EXAMPLE, "load.json")) as file:
        plan = json.load(file)
    for stream in plan["streams"]:
        if stream["queue"] in keys:
            stream["key"] = keys[stream["queue"]]
    path = os.path.join(cell.dir, "load.json")
    with open(path, "w") as file:
        json.dump(plan, file)
    urls = [part for host in cell.hosts for part in ("--url", host.url)]
    out = subprocess.run([os.path.join(BIN, "flamingo-bench"), "--json", "--records",
                          cell.targets_url, *urls, path], capture_output=True, text=True)
    return json.loads(out.stdout)


def kill_a_scheduler(cell):
    time.sleep(4)
    owner = cell.owners()["bogota-b"]
    host = cell.host_of(owner)
    host.sched.send(signal.SIGKILL)
    killed = time.monotonic()
    step("killed %s, owner of bogota-b" % owner)
    wait_for(lambda: cell.owners(host=0).get("bogota-b") not in (None, owner), 20, "a new owner")
    step("bogota-b has a new owner after %.1f s" % (time.monotonic() - killed))
    host.start_sched()


def report(results, summary, service_running):
    print("%-10s %-8s %6s %6s %8s %8s %8s %9s %9s %9s" % (
        "STREAM", "KIND", "SENT", "DONE", "NOT RUN", "UNKNOWN", "ACCEPTED", "P50 MS", "P99 MS",
        "P99.9 MS"))
    for r in results:
        done = r["done"] if r["kind"] == "request" else r["jobs_done"]
        print("%-10s %-8s %6d %6d %8d %8d %8d %9.1f %9.1f %9.1f" % (
            r["stream"], r["kind"], r["sent"], done, r["not_run"], r["unknown"], r["accepted"],
            r["p50_ms"], r["p99_ms"], r["p999_ms"]))
    requests = [r for r in results if r["kind"] == "request"]
    jobs = [r for r in results if r["kind"] != "request"]
    lost = sum(r["lost"] + r["false_not_run"] for r in results)
    lost += sum(r["accepted"] - r["jobs_done"] for r in jobs)
    doubled = sum(r["doubled"] for r in results) + summary["overlaps"] + summary["over_capacity"]
    print("service replicas running: %d" % service_running)
    print("demo: requests=%d answered=%d jobs=%d done=%d lost=%d doubled=%d" % (
        sum(r["sent"] for r in requests),
        sum(r["done"] + r["failed"] + r["not_run"] + r["unknown"] for r in requests),
        sum(r["accepted"] for r in jobs), sum(r["jobs_done"] for r in jobs), lost, doubled))
    return 1 if lost or doubled else 0


def main():
    step("starting a platform, 48 targets and 3 entry hosts on loopback")
    cell = Cell(["bogota-a", "bogota-b", "bogota-c"], per_domain=16, region="bogota",
                target_options=["--label", "citas", "--cores", "16", "--memory-mb", "32768"])
    try:
        cell.wait_ready()
        step("applying the tickets of examples/rueda")
        for name in sorted(os.listdir(os.path.join(EXAMPLE, "tickets"))):
            ctl(cell, "ticket", "submit", os.path.join(EXAMPLE, "tickets", name))
        keys = {}
        for team, queues in (("citas", ("checks", "bookings")), ("agenda", ("rebuild", "table"))):
            key = cell.give_key(team)
            keys.update((queue, key) for queue in queues)
        print(ctl(cell, "status"))
        step("sending load")
        killer = threading.Thread(target=kill_a_scheduler, args=(cell,))
        killer.start()
        results = run_load(cell, keys)
        killer.join()
        usage = json.loads(ctl(cell, "usage", "--json"))
        running = sum(u["running"] for u in usage if u["team"] == "feeds")
        return report(results, cell.summary(), running)
    finally:
        cell.stop()


if __name__ == "__main__":
    sys.exit(main())
