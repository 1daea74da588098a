"""A small cell on loopback: the project's daemons by the commands of the deploy file, the project's
stand-in of the platform's store, and workers (stand_in_worker.py), each a process of its own."""
import base64
import http.client
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
BIN = os.path.join(ROOT, "target", "bin")
STAND_IN = os.path.join(ROOT, "build", "bin", "standin-platform")
HOST, KEY, SERVICE, ZONE = "desk.example", "key-of-the-tenant", "desk", "zone-a"
PING_S, MAX_FDS = 1.5, 4100


class CannotRun(Exception):
    pass


def limit_descriptors():
    """The platform limits the descriptors of each process of the system."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    limit = MAX_FDS if hard == resource.RLIM_INFINITY else min(MAX_FDS, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))


FIRST_PORT, PORTS = 11000, 20000  # below the ports that the kernel gives to connections
next_port = os.getpid() * 97 % PORTS


def free_ports(count):
    """Returns ports on which nothing listens; each is given once."""
    global next_port
    ports = []
    while len(ports) < count:
        next_port = (next_port + 1) % PORTS
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", FIRST_PORT + next_port))
                ports.append(FIRST_PORT + next_port)
            except OSError:
                pass
    return ports


def call(port, method, path, body=None, headers=None, timeout=5):
    """Returns (status, body); status 0 without an answer."""
    try:
        link = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
        link.request(method, path, None if body is None else json.dumps(body), headers or {})
        reply = link.getresponse()
        data = reply.read()
        link.close()
        try:
            return reply.status, json.loads(data or b"null")
        except ValueError:
            return reply.status, None
    except (OSError, http.client.HTTPException):
        return 0, None


class Cell:
    def __init__(self, folder, hosts=3, queues=None, memory_mb=260, cap_cpu=0):
        self.started_at = time.time()
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.children, self.workers, self.hosts, self.events = [], {}, [], []
        self.memory_mb, self.cap_cpu = memory_mb, cap_cpu
        if not os.path.exists(STAND_IN) or not os.path.exists(os.path.join(BIN, "flamingo-poold")):
            raise CannotRun("build the programs and the stand-in first (build-2.sh)")
        self.platform = subprocess.Popen([STAND_IN], stdout=subprocess.PIPE,
                                         stderr=open(os.path.join(self.dir, "platform.log"), "w"))
        self.children.append(self.platform)
        line = self.platform.stdout.readline().decode()
        if not line.startswith("port="):
            raise CannotRun("the stand-in of the store did not start")
        self.store_port = int(line[5:])
        self.version = 0
        self.queues = queues or [{"name": "checks", "pathPrefix": "/checks/", "priority": 1, "attempts": 3}]
        self.configure()
        for i in range(hosts):
            self.hosts.append(self.new_host(i))
            self.start_host(self.hosts[-1])
        threading.Thread(target=self.remove_silent_entries, daemon=True).start()

    # --- record ---

    def say(self, text, **fields):
        line = "%8.3f %s" % (time.time() - self.started_at, text)
        if fields:
            line += " " + json.dumps(fields)
        with self.lock:
            self.record.write(line + "\n")
            self.record.flush()

    # --- operator, platform ---

    def configure(self):
        self.version += 1
        routes = [dict({"host": HOST, "service": SERVICE, "routeType": "non_idempotent", "timeoutMs": 3000,
                        "public": False, "stretch": 2.2, "targetLatencyMs": 1200}, **queue)
                  for queue in self.queues]
        status, _ = call(self.store_port, "PUT", "/operator/op/config", {
            "version": self.version, "routes": routes,
            "tenants": [{"name": "tenant", "apiKeys": [KEY], "weight": 10,
                         "cap": {"cpu": self.cap_cpu, "memMb": 0, "gpu": 0}}],
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 64,
                          "rejectsOverload": False}], "limits": {}})
        if status != 200:
            raise CannotRun("the configuration was not taken")

    def remove_silent_entries(self):
        """An entry is removed after three ping intervals of silence."""
        last = {}
        while True:
            time.sleep(0.3)
            _, body = call(self.store_port, "GET", "/rows-get?table=servers&part=")
            for row in (body or {}).get("rows", []):
                seen = last.get(row["key"])
                if seen is None or seen[0] != row["ver"]:
                    last[row["key"]] = (row["ver"], time.monotonic())
                elif time.monotonic() - seen[1] > 3 * PING_S:
                    call(self.store_port, "DELETE", "/operator/servers/" + row["key"])
                    last.pop(row["key"], None)

    # --- hosts ---

    def new_host(self, number):
        front, ready, link, relay, pool_metrics, front_metrics = free_ports(6)
        settings = {
            "name": "front-a-%d" % (number + 1), "domain": ZONE, "region": "region", "address": "127.0.0.1",
            "front": "127.0.0.1:%d" % front, "ready": "127.0.0.1:%d" % ready,
            "store": "127.0.0.1:%d" % self.store_port, "advice": "127.0.0.1:%d" % self.store_port,
            "link_port": link, "relay_port": relay, "pool_metrics_port": pool_metrics,
            "front_metrics_port": front_metrics, "hold_max_ms": 6000, "cpu_share": "0.25", "cores": 1,
            "link_mbps": "1000.0", "memory_mb": self.memory_mb, "max_fds": MAX_FDS, "row_bytes": 65536,
            "graceful_stop_s": 6, "log_level": "info"}
        path = os.path.join(self.dir, settings["name"] + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        host = {"name": settings["name"], "front": front, "ready": ready, "pool_metrics": pool_metrics,
                "path": path, "processes": {}}
        return host

    def start_host(self, host):
        self.start_role(host, "poold")
        self.start_role(host, "frontd")

    def stop_host(self, host):
        for child in host["processes"].values():
            child.kill()
            child.wait()

    def start_role(self, host, role):
        log = open(os.path.join(self.dir, "%s-%s.log" % (host["name"], role)), "ab")
        child = subprocess.Popen([os.path.join(BIN, "flamingo-" + role), "--settings", host["path"]],
                                 stdout=log, stderr=log, cwd=ROOT, preexec_fn=limit_descriptors)
        host["processes"][role] = child
        self.children.append(child)
        return child

    def owner(self):
        for host in self.hosts:
            try:
                link = http.client.HTTPConnection("127.0.0.1", host["pool_metrics"], timeout=1)
                link.request("GET", "/metrics")
                text = link.getresponse().read().decode()
                link.close()
                if "flamingolane_pool_owned 1" in text:
                    return host
            except (OSError, http.client.HTTPException):
                pass
        return None

    def wait(self, condition, seconds, what):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            value = condition()
            if value:
                return value
            time.sleep(0.05)
        raise CannotRun("no " + what + " after %d s" % seconds)

    def wait_until_ready(self):
        self.wait(lambda: all(call(host["ready"], "GET", "/ready")[0] == 200 for host in self.hosts)
                  and self.owner(), 20, "readiness of all hosts")

    # --- workers ---

    def add_worker(self, name, kind="a", rack="r1-1", cpu=16000, mem=32768, port=None, shown_port=None):
        """A worker tells @shown_port as its own, if it is reached through a proxy there."""
        port = port or free_ports(1)[0]
        worker = {"name": name, "port": port, "kind": kind, "rack": rack, "cpu": cpu, "mem": mem,
                  "shown_port": shown_port or port}
        self.workers[name] = worker
        self.start_worker(worker)
        return worker

    def start_worker(self, worker):
        child = subprocess.Popen(
            [sys.executable, "-S", "-E", os.path.join(HERE, "stand_in_worker.py"), "127.0.0.1:%d" % self.store_port,
             worker["name"], str(worker["port"]), SERVICE, worker["kind"], worker["rack"],
             str(worker["cpu"]), str(worker["mem"]), str(worker["shown_port"])], stdout=subprocess.PIPE)
        worker["child"], worker["tasks"], worker["up"] = child, {}, False
        self.children.append(child)
        threading.Thread(target=self.read_worker, args=(worker, child), daemon=True).start()

    def read_worker(self, worker, child):
        tasks = worker["tasks"]
        for line in child.stdout:
            event = json.loads(line)
            worker["up"] = True
            if event["event"] == "start":
                tasks[event["task"]] = event
            elif event["event"] == "end":
                tasks.pop(event["task"], None)
            with self.lock:
                self.events.append(event)
            self.say("worker " + worker["name"] + " " + event["event"],
                     **{key: event[key] for key in event if key not in ("event", "worker")})

    def crash_worker(self, worker):
        worker["child"].kill()
        worker["child"].wait()
        worker["tasks"] = {}
        self.say("worker " + worker["name"] + " crashed (SIGKILL)")

    def place_of(self, task):
        """Returns the worker on which the task runs, by what the workers have printed."""
        for worker in list(self.workers.values()):
            if task in worker["tasks"] and worker["child"].poll() is None:
                return worker
        return None

    # --- clients ---

    def request(self, method, path, body=None, host=None, timeout=3):
        host = host or self.hosts[0]
        headers = {"Host": HOST, "Authorization": "Bearer " + KEY, "Content-Type": "application/json",
                   "Deadline-Ms": "3000"}
        status, answer = call(host["front"], method, path, body, headers, timeout)
        self.say("client %s %s at %s: %d" % (method, path, host["name"], status), answer=answer)
        return status, answer

    def rows(self, table, part, key):
        _, body = call(self.store_port, "GET", "/rows-get?table=%s&part=%s&from=%s&to=%s0"
                       % (table, part, key, key))
        return (body or {}).get("rows", [])

    def stop(self):
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children:
            child.wait()
        if os.environ.get("KEEP"):
            print("kept", self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


def play(folder, scenario, trouble):
    """Runs the scenario, with its disruption if @trouble; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    cell, code = None, 2
    try:
        cell = Cell(folder, **scenario.CELL)
        cell.wait_until_ready()
        broken = scenario.run(cell, trouble)
        code = 1 if broken else 0
        cell.say("RESULT: " + ("rule broken: " + broken if broken else "rule held"))
        print("rule broken: " + broken if broken else "rule held")
    except CannotRun as error:
        print("could not run: %s" % error)
        if cell:
            cell.say("could not run: %s" % error)
    finally:
        if cell:
            cell.stop()
    sys.exit(code)
