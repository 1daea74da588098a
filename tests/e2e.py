#!/usr/bin/env python3
"""End-to-end tests: the real daemons under load and faults, checked from targets and clients.

    tests/e2e.py [SCENARIO ...]      default: all scenarios

Each scenario starts a cell, submits jobs over the HTTP API and injects its faults. It fails if a
task runs on two targets at once, starts again after its completion was acknowledged or exceeds a
target's capacity, or if an accepted job is unknown or does not end. ADVICE_CASES play in a cell with
an advice service that takes its time; they also fail if a job starts later than the rule for a calm
cell allows although there is room for it. The scenarios run in real time, so they are not part of
make check; run them with make e2e.
"""
import collections
import http.client
import itertools
import json
import os
import random
import resource
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
from cell import KEY, Cell, LoadGenerator, send_request, job, wait_for  # noqa: E402
import soak_checks as checks  # noqa: E402

DOMAINS = ["bogota-a", "bogota-b", "bogota-c"]
LOAD_S = 12
JOB_KINDS = [job("check", "/checks/", 10, [4, 2], 150), job("rebuild", "/rebuild/", 3, [6, 6], 500)]


def no_fault(cell):
    time.sleep(2)


def kill_owner(cell):
    for _ in range(2):
        time.sleep(3)
        owner = wait_for(cell.owner, 10, "an owner")
        owner.processes["poold"].signal_child(signal.SIGKILL)
        owner.processes["poold"].child.wait()
        owner.start("poold")


def pause_owner(cell):
    time.sleep(3)
    owner = wait_for(cell.owner, 10, "an owner")
    owner.processes["poold"].signal_child(signal.SIGSTOP)
    time.sleep(6)
    owner.processes["poold"].signal_child(signal.SIGCONT)


def kill_all(cell):
    time.sleep(4)
    for host in cell.hosts:
        for role in ("poold", "frontd"):
            host.processes[role].signal_child(signal.SIGKILL)
            host.processes[role].child.wait()
    for host in cell.hosts:
        host.start("poold")
        host.start("frontd")


def rolling_stop(cell):
    for host in cell.hosts:
        time.sleep(2)
        for role in ("poold", "frontd"):
            host.processes[role].stop()
            host.start(role)


def store_down(cell):
    time.sleep(3)
    cell.control_platform(mode="busy")
    time.sleep(4)
    cell.control_platform(mode="ok")


def store_silent(cell):
    time.sleep(3)
    cell.control_platform(mode="silent")
    time.sleep(4)
    cell.control_platform(mode="ok")


def store_loses_answers(cell):
    time.sleep(2)
    cell.control_platform(mode="ok", lose_per_mille=200, late_ms=2000)
    time.sleep(6)
    cell.control_platform(mode="ok", forget=True)


def targets_crash(cell):
    for target in range(4):
        time.sleep(1)
        cell.control_target(target, "crash", 1500)


def targets_cut(cell):
    for target in range(3):
        time.sleep(1)
        cell.control_target(target, "cut", 4000)


def targets_drain(cell):
    for target in range(3):
        time.sleep(1)
        cell.control_target(target, "drain")


def kill_owner_while_target_is_cut(cell):
    time.sleep(3)
    cell.control_target(0, "cut", 8000)
    owner = wait_for(cell.owner, 10, "an owner")
    owner.processes["poold"].signal_child(signal.SIGKILL)
    owner.processes["poold"].child.wait()
    time.sleep(3)
    owner.start("poold")


def key_withdrawn(cell):
    time.sleep(3)
    cell.configure(keys=("another-key",))
    time.sleep(2.5)
    for host in cell.hosts:
        status, _ = send_request("GET", host.url(host.front_port) + "/checks/", None, KEY,
                                 "fair.example")
        assert status == 401, "a request with a revoked key got status %d" % status
    cell.configure()


def settings_read_again(cell):
    for _ in range(3):
        time.sleep(1)
        for host in cell.hosts:
            for process in host.processes.values():
                process.signal_child(signal.SIGHUP)
    for host in cell.hosts:
        for process in host.processes.values():
            assert process.child.poll() is None, process.name + " exited on SIGHUP"


def request_waits_for_store(cell):
    """A request that arrives while the configuration is unconfirmed succeeds after confirmation."""
    time.sleep(2)
    cell.control_platform(mode="silent")
    time.sleep(6)
    job_kind = JOB_KINDS[0]
    statuses = []
    client = threading.Thread(target=lambda: statuses.append(send_request(
        "POST", cell.hosts[0].url(cell.hosts[0].front_port) + "/checks/00000000000000aa",
        job_kind["body"], KEY, "fair.example", 4)[0]))
    client.start()
    time.sleep(0.8)
    cell.control_platform(mode="ok")
    client.join()
    assert statuses == [200], "got statuses %s" % statuses


class StopClient(threading.Thread):
    """Submits jobs on a kept-alive connection until finished is set, and counts its responses.

    A request without a response counts as lost only if the host had time to read it: one that
    crosses the end of the process on the way is not.
    """

    IN_TRANSIT_S = 0.03

    def __init__(self, port, first_id, finished):
        super().__init__()
        self.port, self.next_id, self.finished = port, first_id, finished
        self.statuses, self.sent_unanswered, self.connection = [], [], None

    def send_one(self):
        body = json.dumps(JOB_KINDS[0]["body"])
        headers = {"Host": "fair.example", "Authorization": "Bearer " + KEY,
                   "Content-Type": "application/json"}
        self.next_id += 1
        sent = time.monotonic()
        try:
            self.connection.request("POST", "/checks/%016x" % self.next_id, body, headers)
            response = self.connection.getresponse()
            response.read()
            self.statuses.append(response.status)
            if response.getheader("Connection") == "close":
                self.connection.close()
                self.connection = None
        except (OSError, http.client.HTTPException):
            self.sent_unanswered.append(sent)
            self.connection = None

    def run(self):
        while not self.finished.is_set():
            try:
                if self.connection is None:
                    connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=5)
                    connection.connect()
                    self.connection = connection
            except OSError:
                time.sleep(0.05)
                continue
            self.send_one()
            time.sleep(random.uniform(0, 0.05))


def stop_loses_no_request(cell):
    """Clients send on open connections until flamingo-frontd is gone; each gets its response."""
    time.sleep(2)
    host, finished = cell.hosts[0], threading.Event()
    cell.control_platform(mode="ok", delay_ms=80)
    clients = [StopClient(host.front_port, 0xfe00000000000000 + (i << 32), finished)
               for i in range(30)]
    for client in clients:
        client.start()
    time.sleep(2)
    process = host.processes["frontd"]
    process.signal_child(signal.SIGTERM)
    exit_code = process.child.wait()
    gone = time.monotonic()
    time.sleep(0.5)
    finished.set()
    for client in clients:
        client.join()
    cell.control_platform(mode="ok")
    host.start("frontd")
    answered = sum(len(client.statuses) for client in clients)
    lost = sum(gone - sent > StopClient.IN_TRANSIT_S
               for client in clients for sent in client.sent_unanswered)
    assert exit_code == 0, "exit code %d" % exit_code
    assert answered > 0 and lost == 0, "answered %d, lost %d" % (answered, lost)


def idle_connections_use_up_descriptors(cell):
    """A client is served although idle connections of others could take all descriptors of the process."""
    host = cell.hosts[0]
    host.processes["frontd"].stop()
    old = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (200, old[1]))
    try:
        host.start("frontd")
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, old)
    wait_for(host.is_ready, 10, "a host with few descriptors")
    idle = [socket.create_connection(("127.0.0.1", host.front_port)) for _ in range(300)]
    try:
        time.sleep(4)
        status, _ = send_request("GET", host.url(host.front_port) + "/checks/", None, KEY, "fair.example", 5)
        assert status == 200, "status %d beside idle connections" % status
    finally:
        for connection in idle:
            connection.close()
        host.processes["frontd"].stop()
        host.start("frontd")


SCENARIOS = [no_fault, kill_owner, pause_owner, kill_all, rolling_stop, store_down, store_silent,
             store_loses_answers, targets_crash, targets_cut, targets_drain,
             kill_owner_while_target_is_cut, key_withdrawn, settings_read_again,
             request_waits_for_store, stop_loses_no_request,
             idle_connections_use_up_descriptors]


def run_scenario(scenario, cell, problems):
    """Runs a scenario; a failed assertion or a timeout is appended to problems."""
    try:
        scenario(cell)
    except (AssertionError, TimeoutError) as error:
        problems.append("%s: %s" % (type(error).__name__, error))


def check_scenario(scenario):
    """Runs a scenario in a cell under load and returns a list of problems."""
    cell = Cell(DOMAINS)
    problems = []
    try:
        cell.wait_until_ready()
        load = LoadGenerator(cell)
        fault_thread = threading.Thread(target=run_scenario, args=(scenario, cell, problems))
        fault_thread.start()
        load.run(LOAD_S, 10, JOB_KINDS)
        fault_thread.join()
        unfinished = load.wait_for_jobs(60)
        summary = cell.summary()
        for name in ("in_two_places", "begun_again", "over_capacity"):
            if summary[name]:
                problems.append("%s: %d" % (name, summary[name]))
        if unfinished:
            problems.append("accepted jobs that did not end: %d" % len(unfinished))
        unknown = sum(entry["state"] == "unknown" for entry in load.jobs.values())
        if unknown:
            problems.append("accepted jobs that are unknown: %d" % unknown)
        accepted = sum(entry["accepted"] for entry in load.jobs.values())
        print("%-32s jobs=%d accepted=%d starts=%d lapsed=%d %s" % (
            scenario.__name__, len(load.jobs), accepted, summary["starts"], summary["lapsed"],
            "; ".join(problems) or "held"), flush=True)
    finally:
        cell.stop()
    if problems:
        print("  logs: " + cell.work_dir)
    return problems


# --- advice ---

ADVICE_KINDS = [job("checks", "/checks/", 1, [3], 300, 200),
                job("rebuild", "/rebuild/", 1, [4], 600, 200), job("feeds", "/feeds/", 1, [4], 500, 200)]
# Positions in ADVICE_KINDS of jobs sent one after another, at a constant rate: a random burst could
# exceed what the advice service can handle.
ADVICE_ORDER = [0, 1, 0, 2, 0, 1, 0, 2, 0, 1]
ADVICE_LOAD_S, ADVICE_TARGETS = 20, 24
JOBS_PER_HOST_S, BUSY_JOBS_PER_HOST_S = 0.4, 3.7
WARM_UP_S = 3


def kill_two_hosts(cell, faults):
    """Kills two hosts that do not own the pool, and starts them again."""
    time.sleep(4)
    killed = [host for host in cell.hosts if not host.owns_pool()][:2]
    entries = [faults.begin(host.name, "kill") for host in killed]
    for host in killed:
        for process in host.processes.values():
            process.signal_child(signal.SIGKILL)
            process.child.wait()
    time.sleep(3)
    for host, entry in zip(killed, entries):
        host.start("poold")
        host.start("frontd")
        faults.end(entry)


def kill_owner_once(cell, faults):
    time.sleep(4)
    owner = wait_for(cell.owner, 10, "an owner")
    entry = faults.begin(owner.name, "kill")
    owner.processes["poold"].signal_child(signal.SIGKILL)
    owner.processes["poold"].child.wait()
    owner.start("poold")
    faults.end(entry)


def disrupt_advice(**fault):
    """Returns a function that injects the fault for 4 s."""
    def disrupt(cell, faults):
        time.sleep(4)
        entry = faults.begin("advice", "advice")
        cell.control_advice("fault", duration_ms=4000, **fault)
        time.sleep(4 + fault.get("hang_ms", 0) / 1000)
        faults.end(entry)
    return disrupt


def in_turn(*actions):
    return lambda cell, faults: [action(cell, faults) for action in actions]


# slowness: of the advice service for the whole run; it excuses no wait, as the protocol bounds no
# call. disturb: faults after which the cell has to become calm before waits count; or None.
AdviceCase = collections.namedtuple("AdviceCase", "name hosts slowness disturb jobs_per_host_s",
                                    defaults=(JOBS_PER_HOST_S,))
HANGS, CLOSES = {"hang_share": 0.5, "hang_ms": 3000}, {"close_share": 0.5}
REJECTS = {"reject_share": 0.5, "reject_status": 503}
ADVICE_CASES = [
    AdviceCase("advice_as_published", 7, {}, None),
    AdviceCase("advice_550_ms_longer", 7, {"added_ms": 550}, None),
    AdviceCase("advice_700_ms_longer", 7, {"added_ms": 700}, None),
    AdviceCase("advice_700_ms_longer_for_6_s", 7, {"added_ms": 700, "duration_ms": 6000}, None),
    AdviceCase("advice_three_times_as_long", 7, {"factor": 3}, None),
    AdviceCase("advice_700_ms_longer_three_hosts", 3, {"added_ms": 700}, None),
    AdviceCase("advice_as_published_hosts_busy", 3, {}, None, BUSY_JOBS_PER_HOST_S),
    AdviceCase("advice_hangs", 7, {}, disrupt_advice(**HANGS)),
    AdviceCase("advice_closes_and_rejects", 7, {},
               in_turn(disrupt_advice(**CLOSES), disrupt_advice(**REJECTS))),
    AdviceCase("advice_700_ms_longer_hosts_killed", 7, {"added_ms": 700}, kill_two_hosts),
    AdviceCase("advice_three_times_as_long_owner_killed", 7, {"factor": 3}, kill_owner_once),
]


class StartWatch(threading.Thread):
    """Judges the first starts of jobs until finished is set."""

    def __init__(self, cell, load, faults):
        super().__init__()
        self.cell, self.load, self.faults = cell, load, faults
        self.finished, self.overdue, self.event_count = threading.Event(), [], 0
        self.judge = checks.StartJudge(lambda job_id: cell.eligible_targets(job_id + ".0.0"))

    def accepted(self):
        return [(job_id, entry["accepted_at"], entry["body"]["body"]["steps"][0]["cpu"])
                for job_id, entry in self.load.snapshot().items() if entry["accepted"]]

    def waits_s(self, now):
        """Returns for how long each job waited, and whether it has started."""
        starts = self.judge.first_starts
        return [(starts.get(job_id, now) - accepted_at, job_id in starts)
                for job_id, accepted_at, _ in self.accepted()]

    def run(self):
        while not self.finished.wait(0.3):
            now = time.monotonic()
            while page := self.cell.run_history(self.event_count):
                self.event_count += len(page)
                for event in page:
                    self.judge.take(event)
            self.overdue += self.judge.judge(now, self.accepted(), self.faults)


def submit_at_constant_rate(load, duration_s, jobs_per_second):
    threads = []
    for i, kind in zip(range(int(duration_s * jobs_per_second)), itertools.cycle(ADVICE_ORDER)):
        body = ADVICE_KINDS[kind]
        threads.append(threading.Thread(target=load.submit_job, args=(body["prefix"], body)))
        threads[-1].start()
        time.sleep(1 / jobs_per_second)
    for thread in threads:
        thread.join()


def check_advice_case(case):
    """Plays a case in a cell under load and returns a list of problems."""
    cell = Cell(DOMAINS, ADVICE_TARGETS, case.hosts, has_advice_service=True)
    problems, faults = [], checks.FaultLog(time.monotonic)
    load = LoadGenerator(cell)
    watch = StartWatch(cell, load, faults)
    try:
        cell.wait_until_ready()
        time.sleep(WARM_UP_S)
        cell.control_advice("fault", **case.slowness)
        watch.start()
        disturbance = threading.Thread(target=case.disturb or no_disturbance, args=(cell, faults))
        disturbance.start()
        submit_at_constant_rate(load, ADVICE_LOAD_S, case.jobs_per_host_s * case.hosts)
        disturbance.join()
        # Jobs that still wait now are judged once the cell has been calm.
        time.sleep(checks.START_WAIT_S + checks.START_CALM_S + 1)
        watch.finished.set()
        watch.join()
        waits = watch.waits_s(time.monotonic())
        cell.control_advice("reset")
        unfinished = load.wait_for_jobs(60)
        if watch.overdue:
            problems.append("LOST start: %d" % len(watch.overdue))
        if unfinished:
            problems.append("accepted jobs that did not end: %d" % len(unfinished))
        summary = cell.summary()
        for name in ("in_two_places", "begun_again", "over_capacity"):
            if summary[name]:
                problems.append("%s: %d" % (name, summary[name]))
        counters = cell.advice_counters()
        print("%-40s jobs=%d longest_wait_s=%.2f over_3_s=%d never_started=%d calls=%d %s" % (
            case.name, len(waits), max((wait for wait, _ in waits), default=0),
            sum(wait > checks.START_WAIT_S for wait, _ in waits),
            sum(not has_started for _, has_started in waits), counters["calls"],
            "; ".join(problems) or "held"), flush=True)
    finally:
        watch.finished.set()
        cell.stop()
    if problems:
        print("  logs: " + cell.work_dir)
    return problems


def no_disturbance(_cell, _faults):
    pass


def main():
    names = sys.argv[1:]
    checks_by_name = {scenario.__name__: (check_scenario, scenario) for scenario in SCENARIOS}
    checks_by_name.update({case.name: (check_advice_case, case) for case in ADVICE_CASES})
    unknown = [name for name in names if name not in checks_by_name]
    if unknown:
        print("unknown scenarios: %s; known are: %s" % (
            ", ".join(unknown), ", ".join(checks_by_name)), file=sys.stderr)
        return 2
    selected = names or list(checks_by_name)
    failed = 0
    for name in selected:
        check, scenario = checks_by_name[name]
        failed += bool(check(scenario))
    print("%d passed, %d failed" % (len(selected) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
