"""Starts and stops a cell on loopback: stand-ins and hosts, for the demo and the tests."""
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

from faultproxy import Proxy

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, os.environ.get("BUILD", "build"), "bin")
SERVICE = "citas"
KEY = "rueda-key"
# Queues as the operator writes them: name, host, prefix, priority, attempts, advice.
QUEUES = [
    {"name": "checks", "host": "fair.example", "pathPrefix": "/checks/", "priority": 0,
     "attempts": 3, "stretch": 1.5, "targetLatencyMs": 250, "public": False,
     "advice": {"decideMs": 20, "perItemMs": 0.3, "validMs": 2500}},
    {"name": "rebuild", "host": "fair.example", "pathPrefix": "/rebuild/", "priority": 2,
     "attempts": 3, "stretch": 2.2, "targetLatencyMs": 1200, "public": False},
    {"name": "feeds", "host": "fair.example", "pathPrefix": "/feeds/", "priority": 1,
     "attempts": 3, "stretch": 2.2, "targetLatencyMs": 2500, "public": True},
]


def call(method, url, body=None, key=None, host=None, timeout=5):
    """One HTTP call. Returns (status, parsed body); status 0 when there was no answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("Content-Type", "application/json")
    if key:
        request.add_header("Authorization", "Bearer " + key)
    if host:
        request.add_header("Host", host)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, parse(answer.read())
    except urllib.error.HTTPError as error:
        return error.code, parse(error.read())
    except (urllib.error.URLError, OSError):
        return 0, None


def parse(text):
    try:
        return json.loads(text or b"null")
    except ValueError:
        return text.decode(errors="replace")


def wait_for(condition, timeout_s, what):
    """Polls until condition() is true; raises after timeout_s."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise TimeoutError("gave up waiting for " + what)


class Ports:
    """Hands out ports below those that the kernel gives to outgoing connections, from a range that
    runs beside this one are unlikely to use."""

    FIRST, REGIONS, SIZE = 10000, 100, 200

    def __init__(self):
        self.region = self.FIRST + os.getpid() % self.REGIONS * self.SIZE
        self.used = 0

    def take(self, count):
        ports = []
        while len(ports) < count:
            port = self.region + self.used % self.SIZE
            self.used += 1
            with socket.socket() as probe:
                if probe.connect_ex(("127.0.0.1", port)) != 0:
                    ports.append(port)
        return ports


PORTS = Ports()


class Process:
    """A child process; with wants_port its first line of output names its port."""

    def __init__(self, name, arguments, log_dir, wants_port=False):
        self.name = name
        self.log = open(os.path.join(log_dir, name + ".log"), "ab")
        out = subprocess.PIPE if wants_port else self.log
        self.child = subprocess.Popen(arguments, stdout=out, stderr=self.log,
                                      start_new_session=True)
        if wants_port:
            line = self.child.stdout.readline().decode()
            if not line.startswith("port="):
                raise RuntimeError(name + " did not start; see " + self.log.name)
            self.port = int(line[5:])

    def send(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def stop(self, timeout_s=8):
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            self.child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
        self.log.close()


class Host:
    """One host: flamingo-frontd and flamingo-poold."""

    def __init__(self, cell, name, domain):
        self.cell, self.name, self.domain = cell, name, domain
        self.front, self.ready, self.own, self.link, self.pool_metrics, self.front_metrics, \
            self.relay = cell.ports.take(7)
        self.processes = {}
        self.started = []  # all that ever ran, so that none is left behind
        self.lock = threading.Lock()
        self.store_proxy = Proxy(cell.platform.port) if cell.proxied else None

    def url(self, port):
        return "http://127.0.0.1:%d" % port

    def settings(self):
        settings = {
            "name": self.name, "domain": self.domain, "address": "127.0.0.1",
            "front": "127.0.0.1:%d" % self.front, "ready": "127.0.0.1:%d" % self.ready,
            "own": "127.0.0.1:%d" % self.own, "store": "127.0.0.1:%d" % (
                self.store_proxy.port if self.store_proxy else self.cell.platform.port),
            "advice": "127.0.0.1:%d" % self.cell.targets.port, "link_port": self.link,
            "relay_port": self.relay, "carry_from": self.cell.carry_from,
            "pool_metrics_port": self.pool_metrics, "front_metrics_port": self.front_metrics,
            "graceful_stop_s": 3, "log_level": "info",
        }
        path = os.path.join(self.cell.dir, self.name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file, indent=2)
        return path

    def start(self, role):
        """Starts a role unless it runs: two faults may both want to start it again."""
        with self.lock:
            if role in self.processes and self.processes[role].child.poll() is None:
                return
            self.processes[role] = Process("%s-%s" % (self.name, role), [
                os.path.join(BIN, "flamingo-" + role), "--settings", self.settings()],
                self.cell.dir)
            self.started.append(self.processes[role])

    def owns_pool(self):
        status, text = call("GET", self.url(self.pool_metrics) + "/metrics", timeout=1)
        return status == 200 and "flamingolane_pool_owned 1" in str(text)

    def is_ready(self):
        return call("GET", self.url(self.ready) + "/ready", timeout=1)[0] == 200


class Cell:
    """Stand-ins for the platform and the targets, and a number of hosts."""

    def __init__(self, domains, targets=12, hosts=3, proxied=False, carry_from=0):
        self.ports = PORTS
        self.carry_from = carry_from  # targets from which on peers carry orders
        self.proxied = proxied  # each host reaches the store by a proxy of its own
        self.dir = tempfile.mkdtemp(prefix="flamingolane-")
        self.platform = Process("platform", [os.path.join(BIN, "standin-platform")], self.dir,
                                wants_port=True)
        self.targets = Process("targets", [
            os.path.join(BIN, "standin-targets"), "--platform", self.platform_url, "--domains",
            ",".join(domains), "--count", str(targets), "--service", SERVICE], self.dir,
            wants_port=True)
        self.version = 0
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

    def configure(self, keys=(KEY,), cap=0, queues=QUEUES):
        """Writes a new version of the configuration, as the operator does."""
        self.version += 1
        routes = [dict(queue, service=SERVICE, routeType="non_idempotent", timeoutMs=3000)
                  for queue in queues]
        tenant = {"name": "rueda", "apiKeys": list(keys), "weight": 10,
                  "cap": {"cpu": cap, "memMb": 0, "gpu": 0}}
        status, _ = call("PUT", self.platform_url + "/operator/op/config", {
            "version": self.version, "routes": routes, "tenants": [tenant],
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 64,
                          "rejectsOverload": False}]})
        assert status == 200
        return self.version

    def owner(self):
        return next((host for host in self.hosts if host.owns_pool()), None)

    def wait_ready(self, timeout_s=20):
        wait_for(lambda: all(host.is_ready() for host in self.hosts) and self.owner(), timeout_s,
                 "ready hosts and an owner of the pool")

    def summary(self):
        return call("GET", self.targets_url + "/summary")[1]

    def control_platform(self, **settings):
        return call("POST", self.platform_url + "/control", settings)[1]

    def control_target(self, target, fault, ms=0):
        return call("POST", self.targets_url + "/control",
                    {"target": target, "fault": fault, "ms": ms})[1]

    def stop(self):
        for host in self.hosts:
            for process in host.started:
                process.send(signal.SIGCONT)
                process.send(signal.SIGKILL)
                process.child.wait()
            if host.store_proxy:
                host.store_proxy.stop()
        self.targets.stop()
        self.platform.stop()


class Load:
    """Clients that hand jobs in by the published protocol and ask for their states."""

    def __init__(self, cell, seed=1):
        self.cell, self.random = cell, random.Random(seed)
        self.lock = threading.Lock()
        self.jobs = {}  # id -> {"prefix", "accepted", "state", "sent", "ended"}
        self.refused = 0

    def url(self, prefix, job=""):
        host = self.random.choice(self.cell.hosts)
        return host.url(host.front) + prefix + job

    def hand_in(self, prefix, body):
        """Sends a job until it is accepted or refused for good, as clients do."""
        with self.lock:
            job = "%016x" % self.random.getrandbits(64)
            self.jobs[job] = {"prefix": prefix, "accepted": False, "state": None,
                              "sent": time.monotonic(), "ended": None, "kind": body["kind"]}
        for _ in range(8):
            status, _ = call("POST", self.url(prefix, job), body["body"], KEY, "fair.example", 4)
            if status == 200:
                self.jobs[job]["accepted"] = True
                return job
            time.sleep(0.3)
        with self.lock:
            self.refused += 1
        return None

    def ask(self, job):
        entry = self.jobs[job]
        status, body = call("GET", self.url(entry["prefix"], job), None, KEY, "fair.example", 4)
        if status == 200:
            entry["state"] = body["state"]
            if body["state"] in ("completed", "failed", "cancelled") and entry["ended"] is None:
                entry["ended"] = time.monotonic()
        elif status == 410:
            entry["state"] = "unknown"

    def cancel(self, job):
        call("DELETE", self.url(self.jobs[job]["prefix"], job), None, KEY, "fair.example", 4)

    def run(self, seconds, per_second, bodies):
        """Hands jobs in for some seconds, from one thread for each that is open."""
        threads = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            body = self.random.choices(bodies, [b["weight"] for b in bodies])[0]
            thread = threading.Thread(target=self.hand_in, args=(body["prefix"], body))
            thread.start()
            threads.append(thread)
            time.sleep(self.random.expovariate(per_second))
        for thread in threads:
            thread.join()

    def settle(self, timeout_s):
        """Asks until all accepted jobs but those that last have ended, or the time is up."""
        end = time.monotonic() + timeout_s
        open_jobs = True
        while open_jobs and time.monotonic() < end:
            open_jobs = [job for job, entry in self.jobs.items()
                         if entry["accepted"] and entry["ended"] is None and entry["kind"] != "lasts"]
            for job in open_jobs:
                self.ask(job)
            time.sleep(0.1)
        return [self.jobs[job] for job in open_jobs]


def job(kind, prefix, weight, steps, ms, cpu=1000, **step):
    """A kind of job for Load: steps of a number of tasks each, one after another."""
    body = {"spec": json.dumps({"ms": ms, "cpu": cpu}), "steps": [
        dict({"count": count, "cpu": cpu, "memMb": 256, "estimateMs": max(ms, 0),
              "after": [i - 1] if i else []}, **step) for i, count in enumerate(steps)]}
    return {"kind": kind, "prefix": prefix, "weight": weight, "body": body}
