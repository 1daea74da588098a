"""A small deployment on loopback addresses: the platform's store, workers, and hosts with the two
programs of the deploy file, with the settings of rueda-citas (sites/rueda-citas.toml)."""
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

import wire

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
ZONES = ["bogota-a", "bogota-b", "bogota-c"]
SERVICE = "citas"
KEY = "key-of-feria"
HTTP_HOST = "feria.example"
# As the classes of the site, without advice: (name, priority, attempts, stretch, target latency).
QUEUES = [("check", 0, 3, 1.5, 250), ("rebuild", 2, 3, 2.2, 1200), ("feed", 1, 2, 2.2, 2500)]
HOLD_MAX_MS, STOP_MS = 6000, 100
MEMORY_MB = 260


def choose_net():
    """Returns the first three numbers of loopback addresses that nobody uses."""
    while True:
        net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        with socket.socket() as probe:
            if probe.connect_ex((net + ".1", 8182)) != 0:
                return net


def resident_bytes(child):
    try:
        with open("/proc/%d/statm" % child.pid) as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, IndexError, ValueError):
        return 0


class Cell:
    """Processes of one run. Everything is under a temporary folder, and ends with stop()."""

    def __init__(self, record, hosts=9, workers=48, fleets=4, racks=8, kinds=("a", "a", "b"),
                 cpu=16000, memory_mb=32768):
        self.record_file, self.net = open(record, "w"), choose_net()
        self.dir = tempfile.mkdtemp(prefix="flamingolane-review-")
        self.lock, self.processes, self.begun = threading.Lock(), [], time.monotonic()
        self.stopped = False
        self.platform = self.net + ".1:8182"
        self.event_files, self.hosts, self.controls, self.worker_of = [], {}, {}, {}
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        try:
            self.start(hosts, workers, fleets, racks, kinds, cpu, memory_mb)
        except BaseException:
            self.stop()
            raise

    def start(self, hosts, workers, fleets, racks, kinds, cpu, memory_mb):
        self.start_stand_in("platform.py", [self.net + ".1", "8182"])
        self.configure()
        fleet_of = lambda i: i * fleets // workers
        for f in range(fleets):
            mine = [i for i in range(workers) if fleet_of(i) == f]
            options = {"service": SERVICE, "hold_max_ms": HOLD_MAX_MS, "stop_ms": STOP_MS, "workers": [
                {"number": i, "address": "%s.%d" % (self.net, 100 + i), "port": 8300,
                 "zone": ZONES[i * 3 // workers], "labels": [kinds[i % len(kinds)], "r%d" % (i // racks)],
                 "capacity": {"cpu": cpu, "memMb": memory_mb, "gpu": 0}} for i in mine]}
            events = os.path.join(self.dir, "events-%d" % f)
            control = "%s.2:%d" % (self.net, 8400 + f)
            self.event_files.append(events)
            for i in mine:
                self.controls[i] = control
            self.start_stand_in("workers.py", [self.platform, self.net + ".2", str(8400 + f), events],
                                json.dumps(options))
        for i in range(hosts):
            name = "front-%s-%d" % (ZONES[i % 3], i // 3 + 1)
            self.hosts[name] = {"address": "%s.%d" % (self.net, 11 + i), "zone": ZONES[i % 3]}
            self.write_settings(name)
            for role in self.roles:
                self.start_role(name, role)

    # --- record ---

    def log(self, entry, /, **fields):
        with self.lock:
            self.record_file.write("%8.3f %s %s\n" % (
                time.monotonic() - self.begun, entry,
                " ".join("%s=%s" % item for item in fields.items())))
            self.record_file.flush()

    # --- processes ---

    def start_stand_in(self, program, arguments, text=""):
        child = subprocess.Popen([sys.executable, os.path.join(HERE, program)] + arguments,
                                 stdin=subprocess.PIPE, stdout=subprocess.PIPE,
                                 stderr=open(os.path.join(self.dir, "stand-ins.log"), "ab"),
                                 start_new_session=True)
        self.processes.append(child)
        child.stdin.write(text.encode() + b"\n")
        child.stdin.flush()
        if child.stdout.readline().strip() != b"ready":
            raise RuntimeError(program + " did not start")

    def write_settings(self, name):
        host = self.hosts[name]
        settings = {
            "name": name, "domain": host["zone"], "region": "bogota", "address": host["address"],
            "front": host["address"] + ":8183", "ready": host["address"] + ":8184",
            "store": self.platform, "advice": self.net + ".3:8182", "link_port": 7420,
            "relay_port": 7423, "pool_metrics_port": 7421, "front_metrics_port": 7422,
            "hold_max_ms": HOLD_MAX_MS, "cpu_share": "0.25", "cores": 1, "link_mbps": "1000.0",
            "memory_mb": MEMORY_MB, "max_fds": 4100, "row_bytes": 65536, "graceful_stop_s": 6,
            "log_level": "info"}
        host["settings"] = os.path.join(self.dir, name + ".json")
        with open(host["settings"], "w") as file:
            json.dump(settings, file)

    def start_role(self, name, role):
        host = self.hosts[name]
        command = self.roles[role]["run"].replace("/etc/flamingolane/local.toml", host["settings"])
        log = open(os.path.join(self.dir, "%s-%s.log" % (name, role)), "ab")
        host[role] = subprocess.Popen(command.split(), cwd=ROOT, stdout=log, stderr=log,
                                      start_new_session=True)
        self.processes.append(host[role])

    def owner(self):
        """Returns the name of the host whose flamingo-poold owns the pool, or None."""
        for name, host in self.hosts.items():
            try:
                with open(os.path.join(self.dir, name + "-pool.log")) as file:
                    lines = [line for line in file if "event=pool_taken" in line
                             or "event=pool_lost" in line]
            except OSError:
                continue
            if lines and "pool_taken" in lines[-1] and host["pool"].poll() is None:
                host["taken"] = int(lines[-1].split("time=")[1].split()[0])
        taken = [(h.get("taken", 0), n) for n, h in self.hosts.items()
                 if h.get("taken") and h["pool"].poll() is None]
        return max(taken)[1] if taken else None

    def kill(self, name, role, sig=signal.SIGKILL):
        self.log("signal", host=name, role=role, signal=int(sig))
        self.hosts[name][role].send_signal(sig)
        if sig == signal.SIGKILL:
            self.hosts[name][role].wait()
            self.hosts[name].pop("taken", None)

    def enforce_memory(self, restart_s=1.0):
        """As the platform does: a process that exceeds memoryMb is killed, and started again after a
        short delay. Appends (time, host, role, MB) to self.memory_kills."""
        def watch():
            while not self.stopped:
                for name, host in self.hosts.items():
                    for role in self.roles:
                        megabytes = resident_bytes(host[role]) / (1 << 20)
                        if megabytes <= MEMORY_MB or host[role].poll() is not None:
                            continue
                        host[role].kill()
                        host[role].wait()
                        host.pop("taken", None)
                        self.memory_kills.append((time.monotonic(), name, role, megabytes))
                        self.log("memory", host=name, role=role, mb="%.0f" % megabytes,
                                 limit_mb=MEMORY_MB)
                        self.restart_later(name, role, restart_s)
                time.sleep(0.02)
        self.memory_kills = []
        threading.Thread(target=watch, daemon=True).start()

    def restart_later(self, name, role, after_s=1.0):
        """The platform starts a process that has ended again after a short delay."""
        def start():
            time.sleep(after_s)
            with self.lock:
                if not self.stopped:
                    self.start_role(name, role)
            self.log("restarted", host=name, role=role)
        threading.Thread(target=start, daemon=True).start()

    def stop(self):
        """Ends all processes that the cell has started, and removes its folder."""
        with self.lock:
            self.stopped = True
            for child in self.processes:
                if child.poll() is None:
                    child.kill()
                    child.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.dir, ignore_errors=True)

    def log_lines(self, event):
        """Returns the lines of the programs' logs that tell of an event."""
        lines = []
        for name in os.listdir(self.dir):
            if name.endswith(".log"):
                with open(os.path.join(self.dir, name), errors="replace") as file:
                    lines += [line.strip() for line in file if "event=%s " % event in line]
        return lines

    # --- operator and workers ---

    def configure(self, version=1):
        routes = [{"name": "q-" + name, "host": HTTP_HOST, "pathPrefix": "/%s/" % name,
                   "service": SERVICE, "priority": priority, "attempts": attempts, "stretch": stretch,
                   "targetLatencyMs": latency, "public": False, "timeoutMs": 3000,
                   "routeType": "non_idempotent"}
                  for name, priority, attempts, stretch, latency in QUEUES]
        wire.call(self.platform, "PUT", "/operator/op/config", {
            "version": version, "routes": routes,
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 64,
                          "rejectsOverload": False}],
            "tenants": [{"name": "feria", "apiKeys": [KEY], "weight": 10,
                         "cap": {"cpu": 0, "memMb": 0, "gpu": 0}}]})

    def crash(self, worker, down_s):
        self.log("crash", worker=worker, down_s=down_s)
        wire.call(self.controls[worker], "POST", "/control",
                  {"worker": worker, "fault": "crash", "down_s": down_s})

    def counts(self):
        total = {}
        for control in sorted(set(self.controls.values())):
            for name, count in (wire.call(control, "GET", "/counts", timeout=10)[1] or {}).items():
                total[name] = total.get(name, 0) + count
        return total

    def events(self):
        rows = []
        for path in self.event_files:
            with open(path) as file:
                for line in file:
                    try:
                        rows.append(json.loads(line))
                    except ValueError:
                        pass  # the last line, which is being written
        rows.sort(key=lambda row: row[0])
        return rows

    # --- clients ---

    def request(self, method, path, body=None, tries=1, key=KEY):
        """Sends a request to hosts in turn, again after no answer, 429, 502, 503 and 504."""
        status, reply = 0, None
        for _ in range(tries):
            host = random.choice([h for h in self.hosts.values() if h["front"].poll() is None])
            status, reply = wire.call(host["address"] + ":8183", method, path, body, {
                "Host": HTTP_HOST, "Authorization": "Bearer " + key, "Deadline-Ms": "3000"}, 4.0)
            if status not in (0, 429, 502, 503, 504):
                break
            time.sleep(0.3)
        return status, reply

    def submit(self, queue, spec, steps, tries=6):
        job = "%016x" % random.getrandbits(64)
        status, _ = self.request("POST", "/%s/%s" % (queue, job),
                                 {"spec": json.dumps(spec), "steps": steps}, tries)
        self.log("submitted", job=job, queue=queue, status=status,
                 tasks=sum(step["count"] for step in steps))
        return job, status

    def state(self, queue, job, tries=3):
        status, reply = self.request("GET", "/%s/%s" % (queue, job), None, tries)
        state = reply.get("state") if status == 200 and reply else None
        self.log("asked", job=job, status=status, state=state)
        return status, state

    def wait_until_ready(self, timeout_s=25):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            ready = all(wire.call(h["address"] + ":8184", "GET", "/ready", timeout=1)[0] == 200
                        for h in self.hosts.values())
            if ready and self.owner():
                self.log("ready", owner=self.owner())
                return True
            time.sleep(0.2)
        return False
