"""Starts and stops a cell on loopback: stand-ins and entry hosts, for the demo and the tests."""
import json
import os
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, os.environ.get("BUILD", "build"), "bin")
START_TIMEOUT_S = 20


def call(method, url, body=None, key=None, timeout=20):
    """One HTTP call. Returns (status, parsed body); status 0 when the host cannot be reached."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    if key:
        request.add_header("Authorization", "Bearer " + key)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, json.loads(answer.read() or b"null")
    except urllib.error.HTTPError as error:
        text = error.read()
        try:
            return error.code, json.loads(text or b"null")
        except ValueError:
            return error.code, text.decode(errors="replace")
    except (urllib.error.URLError, OSError):
        return 0, None


def wait_for(condition, timeout_s, what):
    """Polls until condition() is true; raises after timeout_s."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise TimeoutError("gave up waiting for " + what)


class Process:
    """A child process whose first line of output may name its port."""

    def __init__(self, name, arguments, log_dir, wants_port=False):
        self.name = name
        self.arguments = arguments
        self.log = open(os.path.join(log_dir, name + ".log"), "ab")
        self.child = subprocess.Popen(arguments, stdout=subprocess.PIPE, stderr=self.log,
                                      start_new_session=True)
        self.port = None
        if wants_port:
            line = self.child.stdout.readline().decode()
            if not line.startswith("port="):
                raise RuntimeError(name + " did not start; see " + self.log.name)
            self.port = int(line[5:])

    def send(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def stop(self, timeout_s=5):
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            self.child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
        self.log.close()


def free_port():
    import socket
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Host:
    """One entry host: a scheduler and an entry daemon."""

    def __init__(self, cell, name, domain, region):
        self.cell, self.name, self.domain, self.region = cell, name, domain, region
        self.link = "tcp://127.0.0.1:%d" % free_port()
        self.http = free_port()
        self.sched_http = free_port()
        self.sched = self.entry = None

    @property
    def url(self):
        return "http://127.0.0.1:%d" % self.http

    @property
    def sched_url(self):
        return "http://127.0.0.1:%d" % self.sched_http

    def settings(self, role):
        settings = {
            "name": self.name, "domain": self.domain, "region": self.region,
            "http_address": "127.0.0.1", "platform_url": self.cell.platform_url,
            "http_port": self.http if role == "entry" else self.sched_http,
            "bootstrap_operator_digest": self.cell.operator_digest,
            "seeds": [{"address": host.link} for host in self.cell.hosts if host is not self],
        }
        if role == "sched":
            settings["link"] = self.link
        else:
            settings["seeds"].append({"address": self.link})
        settings.update(self.cell.overrides)
        path = os.path.join(self.cell.dir, "%s-%s.json" % (self.name, role))
        with open(path, "w") as file:
            json.dump(settings, file, indent=2)
        return path

    def start_sched(self):
        self.sched = Process(self.name + "-sched", [os.path.join(BIN, "flamingo-schedd"),
                             "--settings", self.settings("sched")], self.cell.dir)

    def start_entry(self):
        self.entry = Process(self.name + "-entry", [os.path.join(BIN, "flamingo-entryd"),
                             "--settings", self.settings("entry")], self.cell.dir)


class Cell:
    """Stand-ins for the platform and the targets, and a number of entry hosts."""

    def __init__(self, domains, per_domain=16, hosts=3, region="region", target_options=(),
                 platform_options=(), overrides=None, log_dir=None):
        self.dir = log_dir or tempfile.mkdtemp(prefix="flamingolane-")
        self.overrides = overrides or {}
        self.domains = domains
        out = subprocess.run([os.path.join(BIN, "flamingoctl"), "key", "digest"], check=True,
                             capture_output=True, text=True).stdout
        pairs = dict(line.split(": ") for line in out.strip().splitlines())
        self.operator_key, self.operator_digest = pairs["key"], pairs["digest"]
        self.platform = Process("platform", [os.path.join(BIN, "standin-platform"),
                                *platform_options], self.dir, wants_port=True)
        self.platform_url = "http://127.0.0.1:%d" % self.platform.port
        self.targets = Process("targets", [
            os.path.join(BIN, "standin-targets"), "--platform", self.platform_url, "--domains",
            ",".join(domains), "--per-domain", str(per_domain), "--region", region,
            *target_options], self.dir, wants_port=True)
        self.targets_url = "http://127.0.0.1:%d" % self.targets.port
        self.hosts = []
        for i in range(hosts):
            self.hosts.append(Host(self, "e%d" % (i + 1), domains[i % len(domains)], region))
        for host in self.hosts:
            host.start_sched()
            host.start_entry()

    def operate(self, method, path, body=None, host=0):
        return call(method, self.hosts[host].url + path, body, self.operator_key)

    def give_key(self, team):
        """Makes a key for a team by a ticket and returns its text."""
        out = subprocess.run([os.path.join(BIN, "flamingoctl"), "key", "give", team + "-key", "--team",
                              team, "--url", self.hosts[0].url, "--key", self.operator_key],
                             check=True, capture_output=True, text=True).stdout
        return dict(line.split(": ") for line in out.strip().splitlines())["key"]

    def owners(self, host=0):
        """Acting owner of each domain, as one entry host knows."""
        status, domains = self.operate("GET", "/v1/domains", host=host)
        if status != 200:
            return {}
        return {d["domain"]: d["owner"] for d in domains if d["acting"]}

    def wait_ready(self, timeout_s=START_TIMEOUT_S):
        wait_for(lambda: len(self.owners()) == len(self.domains)
                 and all(d["targets_ready"] > 0 for d in self.operate("GET", "/v1/domains")[1]),
                 timeout_s, "an owner for every domain")

    def summary(self):
        return call("GET", self.targets_url + "/summary")[1]

    def control_platform(self, **settings):
        return call("POST", self.platform_url + "/control", settings)[1]

    def control_targets(self, target, fault, delay_ms=0):
        return call("POST", self.targets_url + "/control",
                    {"target": target, "fault": fault, "delay_ms": delay_ms})[1]

    def host_of(self, owner):
        return next(host for host in self.hosts if owner.startswith(host.name + "."))

    def stop(self):
        for host in self.hosts:
            for process in (host.entry, host.sched):
                if process:
                    process.send(signal.SIGCONT)
                    process.send(signal.SIGKILL)
                    process.child.wait()
        self.targets.stop()
        self.platform.stop()
