"""Runs a cell on loopback, made of stand-ins and hosts, for the demo and the tests."""
import concurrent.futures
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.error
import urllib.request

from faultproxy import FaultProxy

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, os.environ.get("BUILD", "build"), "bin")
SERVICE = "citas"
KEY = "rueda-key"
QUERY_THREADS = 12
# Queue entries of the configuration; configure() adds the fields that all of them share.
QUEUES = [
    {"name": "checks", "host": "fair.example", "pathPrefix": "/checks/", "priority": 0,
     "attempts": 3, "stretch": 1.5, "targetLatencyMs": 250, "public": False,
     "advice": {"decideMs": 20, "perItemMs": 0.3, "validMs": 2500}},
    {"name": "rebuild", "host": "fair.example", "pathPrefix": "/rebuild/", "priority": 2,
     "attempts": 3, "stretch": 2.2, "targetLatencyMs": 1200, "public": False},
    {"name": "feeds", "host": "fair.example", "pathPrefix": "/feeds/", "priority": 1,
     "attempts": 3, "stretch": 2.2, "targetLatencyMs": 2500, "public": True},
]
# Published times of the advice service in a cell with has_advice_service, by queue.
ADVICE = {"checks": {"decideMs": 20, "perItemMs": 0.3, "validMs": 2500},
          "rebuild": {"decideMs": 370, "perItemMs": 5.3, "validMs": 2500},
          "feeds": {"decideMs": 450, "perItemMs": 6.5, "validMs": 2500}}
ADVISED_QUEUES = [dict(queue, advice=ADVICE[queue["name"]]) for queue in QUEUES]


def send_request(method, url, body=None, key=None, host=None, timeout=5):
    """Sends one HTTP request, whose body is bytes or a value to encode. Returns (status, parsed body);
    without a reply, status is 0."""
    data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("Content-Type", "application/json")
    if key:
        request.add_header("Authorization", "Bearer " + key)
    if host:
        request.add_header("Host", host)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, parse_payload(reply.read())
    except urllib.error.HTTPError as error:
        return error.code, parse_payload(error.read())
    except (urllib.error.URLError, OSError):
        return 0, None


def parse_payload(payload):
    try:
        return json.loads(payload or b"null")
    except ValueError:
        return payload.decode(errors="replace")


def wait_for(condition, timeout_s, description):
    """Polls condition() until its value is true and returns that value.

    Raises TimeoutError after timeout_s.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise TimeoutError("timed out waiting for " + description)


class PortAllocator:
    """Allocates ports below the range that the kernel uses for outgoing connections.

    Each process has a subrange of its own: it keeps the first port of it bound.
    """

    FIRST_PORT, RANGE_COUNT, RANGE_SIZE = 10000, 50, 400

    def __init__(self):
        self.guard, self.tried_count = socket.socket(), 0
        for i in range(self.RANGE_COUNT):
            self.range_start = self.FIRST_PORT + (os.getpid() + i) % self.RANGE_COUNT * self.RANGE_SIZE
            try:
                self.guard.bind(("127.0.0.1", self.range_start))
                return
            except OSError:
                continue
        raise RuntimeError("no range of ports is free")

    def allocate(self, count):
        ports = []
        while len(ports) < count:
            # The first port of the range is bound by the guard.
            port = self.range_start + 1 + self.tried_count % (self.RANGE_SIZE - 1)
            self.tried_count += 1
            with socket.socket() as probe:
                if probe.connect_ex(("127.0.0.1", port)) != 0:
                    ports.append(port)
        return ports


PORT_ALLOCATOR = PortAllocator()


HANDLERS_S = 1.0  # after its start, a process handles signals


class Process:
    """A child process. With prints_port, its first line of output must be "port=N"."""

    def __init__(self, name, arguments, log_dir, prints_port=False):
        self.name = name
        self.log_file = open(os.path.join(log_dir, name + ".log"), "ab")
        output = subprocess.PIPE if prints_port else self.log_file
        self.child = subprocess.Popen(arguments, stdout=output, stderr=self.log_file,
                                      start_new_session=True)
        self.started_at = time.monotonic()
        self.was_ended = False  # by a signal of signal_child
        self.ending_signals = set()  # those that may have ended it without its doing
        if prints_port:
            line = self.child.stdout.readline().decode()
            if not line.startswith("port="):
                raise RuntimeError(name + " did not print its port; see " + self.log_file.name)
            self.port = int(line[5:])

    def signal_child(self, signal_number):
        # Before its handlers are installed, SIGHUP ends a process as well, and SIGTERM by itself.
        is_young = time.monotonic() - self.started_at < HANDLERS_S
        if signal_number in (signal.SIGTERM, signal.SIGKILL) or (
                signal_number == signal.SIGHUP and is_young):
            self.was_ended = True
        if signal_number == signal.SIGKILL or (
                signal_number in (signal.SIGTERM, signal.SIGHUP) and is_young):
            self.ending_signals.add(signal_number)
        if self.child.poll() is None:
            self.child.send_signal(signal_number)

    def resident_bytes(self):
        """Returns the resident memory of the process; 0 if it has ended."""
        try:
            with open("/proc/%d/statm" % self.child.pid) as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
        except (OSError, IndexError):
            return 0

    def ended_by_itself(self):
        """Whether the process ended without a signal that ends it, or otherwise than by it: a process
        that handles SIGTERM ends with 0, unless it is killed before."""
        code = self.child.poll()
        return code is not None and (not self.was_ended or (
            code != 0 and -code not in self.ending_signals))

    def stop(self, timeout_s=8):
        self.signal_child(signal.SIGCONT)
        self.signal_child(signal.SIGTERM)
        try:
            self.child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.signal_child(signal.SIGKILL)
            self.child.wait()
        self.log_file.close()


class Host:
    """A host, which runs flamingo-frontd and flamingo-poold."""

    def __init__(self, cell, name, domain):
        self.cell, self.name, self.domain = cell, name, domain
        self.front_port, self.ready_port, self.own_port, self.link_port, self.pool_metrics_port, \
            self.front_metrics_port, self.relay_port = cell.ports.allocate(7)
        self.processes = {}
        self.started_processes = []  # every process ever started, for Cell.stop()
        self.lock = threading.Lock()
        self.store_proxy = FaultProxy(cell.platform.port) if cell.uses_store_proxies else None
        if cell.store_delay_s:
            self.store_proxy.base_delay_s = cell.store_delay_s
        self.advice_port = None  # of the advice service for this host, if it has one of its own
        if cell.has_advice_service:
            self.advice_port = cell.control_advice("add_host")["port"]

    def url(self, port):
        return "http://127.0.0.1:%d" % port

    def settings(self):
        """Writes the host's settings file and returns its path."""
        settings = {
            "name": self.name, "domain": self.domain, "address": "127.0.0.1",
            "front": "127.0.0.1:%d" % self.front_port, "ready": "127.0.0.1:%d" % self.ready_port,
            "own": "127.0.0.1:%d" % self.own_port, "store": "127.0.0.1:%d" % (
                self.store_proxy.port if self.store_proxy else self.cell.platform.port),
            "advice": "127.0.0.1:%d" % (self.advice_port or self.cell.targets.port), "link_port": self.link_port,
            "relay_port": self.relay_port, "carry_from": self.cell.carry_from,
            "pool_metrics_port": self.pool_metrics_port,
            "front_metrics_port": self.front_metrics_port,
            "evacuate_ms": self.cell.evacuate_ms, "memory_mb": self.cell.memory_mb,
            "graceful_stop_s": 3, "log_level": "info",
        }
        path = os.path.join(self.cell.work_dir, self.name + ".json")
        # Both daemons of the host read the file, and one may do so while the other is started.
        with open(path + ".new", "w") as file:
            json.dump(settings, file, indent=2)
        os.replace(path + ".new", path)
        return path

    def start(self, role):
        """Starts a role unless it is running already: overlapping faults may both restart it."""
        with self.lock:
            if role in self.processes and self.processes[role].child.poll() is None:
                return
            self.processes[role] = Process("%s-%s" % (self.name, role), [
                os.path.join(BIN, "flamingo-" + role), "--settings", self.settings()],
                self.cell.work_dir)
            self.started_processes.append(self.processes[role])

    def owns_pool(self):
        status, payload = send_request("GET", self.url(self.pool_metrics_port) + "/metrics",
                                       timeout=1)
        return status == 200 and "flamingolane_pool_owned 1" in str(payload)

    def is_ready(self):
        return send_request("GET", self.url(self.ready_port) + "/ready", timeout=1)[0] == 200


class Cell:
    """Several hosts, and stand-ins for the platform and the targets."""

    def __init__(self, domains, targets=12, hosts=3, uses_store_proxies=False, carry_from=0,
                 store_delay_s=0.0, target_proxies=0, has_advice_service=False, evacuate_ms=0,
                 memory_mb=128):
        self.ports = PORT_ALLOCATOR
        # Peers forward orders if there are at least this many targets; 0: only if the targets need
        # more CPU than the host has.
        self.carry_from = carry_from
        # Time after which an evacuation has to hold; 0 if the hosts need not know of one in time.
        self.evacuate_ms = evacuate_ms
        # Limit of the memory of each process of a host.
        self.memory_mb = memory_mb
        # Whether each host reaches the store through a fault proxy of its own.
        self.uses_store_proxies = uses_store_proxies
        # Delay of each block of data of these proxies, in both directions.
        self.store_delay_s = store_delay_s
        # Whether all queues need advice, of a service that takes the published times and handles
        # one call of each host at a time; else one that replies at once serves the first queue.
        self.has_advice_service = has_advice_service
        self.work_dir = tempfile.mkdtemp(prefix="flamingolane-")
        self.platform = Process("platform", [os.path.join(BIN, "standin-platform")], self.work_dir,
                                prints_port=True)
        self.targets = Process("targets", [
            os.path.join(BIN, "standin-targets"), "--platform", self.platform_url, "--domains",
            ",".join(domains), "--count", str(targets), "--service", SERVICE], self.work_dir,
            prints_port=True)
        # The first target_proxies targets are reached through fault proxies.
        self.target_proxies = self.register_target_proxies(target_proxies)
        self.configuration_version, self.configuration_lock = 0, threading.Lock()
        self.configure()
        self.hosts = [Host(self, "host-%d" % (i + 1), domains[i % len(domains)])
                      for i in range(hosts)]
        for host in self.hosts:
            host.start("poold")
            host.start("frontd")

    @property
    def platform_url(self):
        return "http://127.0.0.1:%d" % self.platform.port

    @property
    def targets_url(self):
        return "http://127.0.0.1:%d" % self.targets.port

    def configure(self, keys=(KEY,), cpu_cap=0, queues=None, more_routes=0):
        """Writes a new version of the configuration in place of the operator, with so many further
        routes, which no client uses."""
        if queues is None:
            queues = ADVISED_QUEUES if self.has_advice_service else QUEUES
        with self.configuration_lock:
            for queue in queues if self.has_advice_service else []:
                advice = queue["advice"]
                self.control_advice("times", queue=queue["name"], base_ms=advice["decideMs"],
                                    per_target_ms=advice["perItemMs"], valid_ms=advice["validMs"])
            return self._configure(keys, cpu_cap, queues + [
                dict(QUEUES[-1], name="more-%d" % i, pathPrefix="/more-%d/" % i)
                for i in range(more_routes)])

    def _configure(self, keys, cpu_cap, queues):
        self.configuration_version += 1
        routes = [dict(queue, service=SERVICE, routeType="non_idempotent", timeoutMs=3000)
                  for queue in queues]
        tenant = {"name": "rueda", "apiKeys": list(keys), "weight": 10,
                  "cap": {"cpu": cpu_cap, "memMb": 0, "gpu": 0}}
        status, _ = send_request("PUT", self.platform_url + "/operator/op/config", {
            "version": self.configuration_version, "routes": routes, "tenants": [tenant],
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 64,
                          "rejectsOverload": False}]})
        assert status == 200
        return self.configuration_version

    def evacuate(self, domain, ends=False):
        """Requests the evacuation of a failure domain in place of the operator, or ends it."""
        status, _ = send_request("DELETE" if ends else "PUT",
                                 "%s/operator/op/evacuate/%s" % (self.platform_url, domain), {})
        assert status == 200

    def write_registry_row(self, key, row):
        """Writes bytes as a row of the registry, in place of another writer than the targets."""
        status, _ = send_request("PUT", "%s/operator/servers/%s" % (self.platform_url, key), row)
        assert status == 200

    def target_port(self, target):
        if target < len(self.target_proxies):
            return self.target_proxies[target].port
        return send_request("GET", self.targets_url + "/ports")[1]["ports"][target]

    def register_target_proxies(self, count):
        ports = send_request("GET", self.targets_url + "/ports")[1]["ports"][:count]
        proxies = [FaultProxy(port) for port in ports]
        for target, proxy in enumerate(proxies):
            send_request("POST", self.targets_url + "/control",
                         {"target": target, "fault": "address", "port": proxy.port})
        return proxies

    def owner(self):
        return next((host for host in self.hosts if host.owns_pool()), None)

    def wait_until_ready(self, timeout_s=20):
        wait_for(lambda: all(host.is_ready() for host in self.hosts) and self.owner(), timeout_s,
                 "all hosts to be ready and an owner of the pool")

    def summary(self):
        return send_request("GET", self.targets_url + "/summary")[1]

    def lasting_tasks(self):
        """Returns {"tasks": [[name, ms since its last run or -1]], "room_ms": ms}, or None."""
        return send_request("GET", self.targets_url + "/lasting")[1]

    def started_jobs(self, after):
        """Returns the next ids of jobs of which a task has started, in order, after so many."""
        reply = send_request("GET", self.targets_url + "/started?after=%d" % after)[1]
        return reply["jobs"] if reply else []

    def control_platform(self, **settings):
        return send_request("POST", self.platform_url + "/control", settings)[1]

    def control_advice(self, action, **settings):
        """Sets up the advice service; see standin-targets.c."""
        return send_request("POST", self.targets_url + "/advice", dict(settings, action=action))[1]

    def advice_counters(self):
        return send_request("GET", self.targets_url + "/advice")[1]

    def eligible_targets(self, step):
        """Returns the ids of the targets that may run the step by the advice service."""
        return send_request("GET", self.targets_url + "/eligible?step=" + step)[1]["targets"]

    def run_history(self, after):
        """Returns the next events of all targets, in order, after so many; see standin-targets.c."""
        reply = send_request("GET", self.targets_url + "/history?after=%d" % after)[1]
        return reply["events"] if reply else []

    def token_knowing_boot(self, target):
        """Returns the highest token of an owner that knows the boot of the target, 0 for none."""
        reply = send_request("GET", self.targets_url + "/boots")[1]
        return reply["boots"][target][1] if reply else 0

    def control_target(self, target, fault, duration_ms=0, **settings):
        return send_request("POST", self.targets_url + "/control", dict(
            settings, target=target, fault=fault, ms=duration_ms))[1]

    def stop(self):
        for host in self.hosts:
            for process in host.started_processes:
                process.signal_child(signal.SIGCONT)
                process.signal_child(signal.SIGKILL)
                process.child.wait()
            if host.store_proxy:
                host.store_proxy.stop()
        for proxy in self.target_proxies:
            proxy.stop()
        self.targets.stop()
        self.platform.stop()


class LoadGenerator:
    """Clients that submit jobs over the HTTP API and query their states."""

    def __init__(self, cell, seed=1):
        self.cell, self.random = cell, random.Random(seed)
        self.lock = threading.Lock()
        # id -> {"prefix", "accepted", "state", "sent", "ended", "kind", "attempts"}; "sent" and
        # "ended" are values of time.monotonic(), "ended" is None until the end is seen; "attempts"
        # lists the (host, status) of each submission, status 0 meaning no reply. Accepted jobs
        # have "accepted_at", likewise, and "body", the value that job() returned.
        self.jobs = {}
        self.abandoned_count = 0

    def url(self, prefix, job=""):
        host = self.random.choice(self.cell.hosts)
        return host.url(host.front_port) + prefix + job

    def snapshot(self):
        """Returns a copy of jobs, whose entries are shared."""
        with self.lock:
            return dict(self.jobs)

    def new_job(self, body):
        """Returns the id of a new entry for a job. body is a value that job() returned."""
        with self.lock:
            job = "%016x" % self.random.getrandbits(64)
            self.jobs[job] = {"prefix": body["prefix"], "accepted": False, "state": None,
                              "sent": time.monotonic(), "ended": None, "kind": body["kind"],
                              "attempts": []}
        if self.cell.has_advice_service:
            self.cell.control_advice("job", job=job, queue=body["prefix"].strip("/"))
        return job

    def submit_job(self, prefix, body):
        """Submits a job under a new id, with retries. body is a value that job() returned.

        Returns the id, or None if no attempt succeeded.
        """
        job = self.new_job(body)
        for _ in range(8):
            url = self.url(prefix, job)
            status, _ = send_request("POST", url, body["body"], KEY, "fair.example", 4)
            self.jobs[job]["attempts"].append((url, status))
            if status == 200:
                self.jobs[job].update(accepted=True, accepted_at=time.monotonic(), body=body)
                return job
            time.sleep(0.3)
        with self.lock:
            self.abandoned_count += 1
        return None

    def query_state(self, job):
        entry = self.jobs[job]
        status, body = send_request("GET", self.url(entry["prefix"], job), None, KEY,
                                    "fair.example", 4)
        if status == 200:
            entry["state"] = body["state"]
            if body["state"] in ("completed", "failed", "cancelled") and entry["ended"] is None:
                entry["ended"] = time.monotonic()
        elif status == 410:
            entry["state"] = "unknown"

    def cancel(self, job):
        send_request("DELETE", self.url(self.jobs[job]["prefix"], job), None, KEY, "fair.example",
                     4)

    def run(self, duration_s, jobs_per_second, job_kinds):
        """Submits jobs for duration_s, each from its own thread, and joins the threads."""
        threads = []
        deadline = time.monotonic() + duration_s
        while time.monotonic() < deadline:
            body = self.random.choices(job_kinds, [b["weight"] for b in job_kinds])[0]
            thread = threading.Thread(target=self.submit_job, args=(body["prefix"], body))
            thread.start()
            threads.append(thread)
            time.sleep(self.random.expovariate(jobs_per_second))
        for thread in threads:
            thread.join()

    def wait_for_jobs(self, timeout_s):
        """Polls until all accepted jobs except long-running ones have ended, or until the timeout.

        Returns the entries of the jobs that have not ended.
        """
        deadline = time.monotonic() + timeout_s
        unfinished_ids = True
        while unfinished_ids and time.monotonic() < deadline:
            unfinished_ids = [job for job, entry in self.jobs.items()
                              if entry["accepted"] and entry["ended"] is None
                              and entry["kind"] != "lasts"]
            with concurrent.futures.ThreadPoolExecutor(QUERY_THREADS) as pool:
                list(pool.map(self.query_state, unfinished_ids))
            time.sleep(0.1)
        return [self.jobs[job] for job in unfinished_ids]


def job(kind, prefix, weight, steps, duration_ms, cpu_milli=1000, spec=None, **step_options):
    """Builds a kind of job for LoadGenerator.

    steps lists the number of tasks of each step; a step starts after the one before it. With
    duration_ms -1 the tasks run until they are stopped. spec holds further fields of the spec.
    """
    text = json.dumps(dict({"ms": duration_ms, "cpu": cpu_milli}, **(spec or {})))
    body = {"spec": text, "steps": [
        dict({"count": count, "cpu": cpu_milli, "memMb": 256, "estimateMs": max(duration_ms, 0),
              "after": [i - 1] if i else []}, **step_options) for i, count in enumerate(steps)]}
    return {"kind": kind, "prefix": prefix, "weight": weight, "body": body}
