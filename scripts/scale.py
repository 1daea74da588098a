#!/usr/bin/env python3
"""Runs the size to design for on one machine: 9 entry hosts, 11 domains, 1,900 targets, 76 teams.

    scripts/scale.py [SECONDS]      default 60

Sends 180 task starts a second with requests beside them, submits tickets, loses one domain and
replaces every scheduler, then prints what was lost, doubled, refused and late, and what each daemon
spent: processor time, memory, bytes.
"""
import json
import os
import re
import signal
import subprocess
import sys
import threading
import time
import urllib.request

from cell import BIN, Cell, wait_for

SECONDS = int(sys.argv[1]) if len(sys.argv) > 1 else 60
DOMAINS = ["d%02d" % i for i in range(11)]
PER_DOMAIN = 173  # 1,903 targets
TEAMS = 76
HOSTS = 9


def tickets():
    teams = [{"name": "team%d" % i, "share": 1 + i % 8, "limit": 600} for i in range(TEAMS)]
    queues = []
    for i in range(TEAMS):
        queues.append({"name": "r%d" % i, "team": "team%d" % i, "open": True,
                       "priority": "urgent" if i % 4 == 0 else "normal"})
        queues.append({"name": "b%d" % i, "team": "team%d" % i, "kind": "batch", "open": True})
    services = [{"name": "s%d" % i, "team": "team%d" % i, "replicas": 20,
                 "demand": {"cpu_milli": 500, "memory_mb": 256},
                 "payload": json.dumps({"ms": 86400000})} for i in range(TEAMS)]
    return [{"number": 1, "teams": teams}, {"number": 2, "queues": queues},
            {"number": 3, "services": services}]


def plan():
    streams = []
    for i in range(0, TEAMS, 4):
        streams.append({"name": "r%d" % i, "queue": "r%d" % i, "kind": "request", "per_minute": 600,
                        "timeout_ms": 3000, "payload": json.dumps({"ms": 5})})
        # 19 streams of 95 jobs of 6 tasks a minute: 180 starts a second
        streams.append({"name": "b%d" % i, "queue": "b%d" % i, "kind": "batch", "per_minute": 95,
                        "tasks": 6, "demand": {"cpu_milli": 1000, "memory_mb": 512},
                        "payload": json.dumps({"ms": 20000})})
    return {"seed": 5, "duration_ms": SECONDS * 1000, "settle_ms": 90000, "streams": streams}


def usage_of(pid):
    with open("/proc/%d/stat" % pid) as file:
        fields = file.read().rsplit(")", 1)[1].split()
    with open("/proc/%d/status" % pid) as file:
        rss = int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1))
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), rss / 1024


def metric(url, name):
    text = urllib.request.urlopen(url + "/metrics", timeout=5).read().decode()
    found = re.search(r"^flamingolane_%s (\d+)$" % re.escape(name), text, re.M)
    return int(found.group(1)) if found else 0


BYTES = ['bytes{kind="control",way="sent"}', 'bytes{kind="work",way="sent"}',
         'bytes{kind="http_client",way="sent"}', 'bytes{kind="http_client",way="received"}']


def snapshot(cell):
    result = {}
    for host in cell.hosts:
        for role, process, url in (("sched", host.sched, host.sched_url),
                                   ("entry", host.entry, host.url)):
            cpu, rss = usage_of(process.child.pid)
            result[host.name + "-" + role] = (process.child.pid, cpu, rss,
                                              [metric(url, name) for name in BYTES])
    return result


def quiet_cost(cell, seconds):
    """What the daemons spend with services running but no load: control alone."""
    before = snapshot(cell)
    time.sleep(seconds)
    after = snapshot(cell)
    for role in ("sched", "entry"):
        rows = [(after[k][1] - before[k][1], after[k][2],
                 [b - a for a, b in zip(before[k][3], after[k][3])])
                for k in after if k.endswith(role) and after[k][0] == before[k][0]]
        print("quiet %s: processor %.2f %% of a core (largest %.2f), memory %.1f MB (largest %.1f), "
              "link control %.2f KB/s sent, http %.2f KB/s sent %.2f received" % (
                  role, 100 * sum(r[0] for r in rows) / len(rows) / seconds,
                  100 * max(r[0] for r in rows) / seconds, sum(r[1] for r in rows) / len(rows),
                  max(r[1] for r in rows), *(sum(r[2][i] for r in rows) / len(rows) / seconds / 1000
                                             for i in (0, 2, 3))), flush=True)


def disturb(cell, notes):
    number = 4
    end = time.monotonic() + SECONDS - 5
    time.sleep(5)
    cell.control_targets("d05-*", "dead")
    notes.append("domain d05 lost at 5 s")
    for host in cell.hosts:
        ticket = {"number": number, "teams": [{"name": "team1", "share": number, "limit": 600}]}
        started = time.monotonic()
        status, answer = cell.operate("POST", "/v1/tickets?wait_ms=8000", ticket)
        notes.append("ticket %d: %s after %.2f s" % (
            number, (answer or {}).get("state"), time.monotonic() - started))
        number += 1
        host.sched.send(signal.SIGTERM)
        host.sched.child.wait(40)
        host.start_sched()
        time.sleep(max(min((end - time.monotonic()) / HOSTS, 4), 0.5))
    cell.control_targets("d05-*", "none")


def main():
    cell = Cell(DOMAINS, per_domain=PER_DOMAIN, hosts=HOSTS,
                target_options=["--cores", "16", "--memory-mb", "32768"])
    try:
        cell.wait_ready(60)
        for ticket in tickets():
            status, answer = cell.operate("POST", "/v1/tickets?wait_ms=8000", ticket)
            assert status == 200, answer
        time.sleep(10)
        quiet_cost(cell, 15)
        notes = []
        thread = threading.Thread(target=disturb, args=(cell, notes))
        thread.start()
        path = os.path.join(cell.dir, "plan.json")
        with open(path, "w") as file:
            json.dump(plan(), file)
        urls = [part for host in cell.hosts for part in ("--url", host.url)]
        commits = cell.control_platform()["commits"]
        began = time.monotonic()
        out = subprocess.run([os.path.join(BIN, "flamingo-bench"), "--json", "--records",
                              cell.targets_url, *urls, path], capture_output=True, text=True)
        took = time.monotonic() - began
        thread.join()
        results = json.loads(out.stdout)
        print("\n".join(notes))
        for kind in ("request", "batch"):
            rows = [r for r in results if r["kind"] == kind]
            total = {k: sum(r[k] for r in rows) for k in (
                "sent", "done", "failed", "not_run", "unknown", "accepted", "jobs_done", "lost",
                "doubled", "false_not_run")}
            print(kind, total, "worst p99 %.0f p99.9 %.0f ms" % (
                max(r["p99_ms"] for r in rows), max(r["p999_ms"] for r in rows)))
            reasons = {}
            for r in rows:
                for reason, count in r["reasons"].items():
                    reasons[reason] = reasons.get(reason, 0) + count
            print("  reasons:", reasons)
        summary = cell.summary()
        summary.pop("twice")
        print("targets:", summary)
        state = cell.control_platform()
        print("table writes %.1f/s" % ((state["commits"] - commits) / took))
    finally:
        cell.stop()


if __name__ == "__main__":
    main()
