"""Stand-ins for the platform's store, the workers, the operator and the clients, and the processes of
a small deployment, for the scripts of review/. One event loop holds all stand-ins; they follow the
pages PROTOCOL.md and DEPLOY.md. The programs under test run as separate processes.

Everything listens on loopback addresses 127.A.B.N of their own, so that the ports are those of the
deploy file. What is sent, answered and run is written to record.txt of the case.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BIN = os.path.join(ROOT, "target", "bin")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The figures of the settings file of a small installation (DEPLOY.md).
BOUNDS = {"maxHoldMs": 6000, "stopTimeoutMs": 900, "graceS": 6, "cancel_ms": 3000, "visible_ms": 3000,
          "configApplyMs": 2000, "stableWindowMs": 3000, "finish_s": 14, "heartbeatMs": 1500,
          "checkpointS": 1.0, "restoreMs": 600, "ackMs": 4000}
ROW_BYTES, BODY_BYTES, ENTRIES, PAGE_ROWS, PAGE_BYTES = 65536, 1000000, 100, 500, 1000000
ZONES = ["zone-a", "zone-b", "zone-c"]
SERVICE = "citas"


def now():
    return time.monotonic()


class Http:
    """A small HTTP/1.1 server. handle(method, path, query, headers, body) returns (status, object),
    or None for no answer at all: the channel then stays open and silent."""

    def __init__(self, handle):
        self.handle, self.server, self.writers = handle, None, set()

    async def start(self, address, port):
        self.server = await asyncio.start_server(self.serve, address, port, limit=4 * 1024 * 1024)
        return self.server.sockets[0].getsockname()[1]

    def abort(self):
        """As the end of a process: no port listens any more, channels are reset."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        key, value = line.split(":", 1)
                        headers[key.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                path, _, text = target.partition("?")
                query = dict(part.partition("=")[::2] for part in text.split("&") if part)
                reply = await self.handle(method, path, query, headers, body)
                if reply is None:
                    await asyncio.sleep(3600)
                status, value = reply
                data = json.dumps(value, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d"
                             b"\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: rows-tx, rows-get, rows-feed. Refuses what exceeds its limits with 400."""

    def __init__(self, cell):
        self.cell, self.rows, self.log, self.ver = cell, {}, [], 0
        self.changed, self.http = asyncio.Event(), Http(self.handle)
        self.refused = 0

    def put(self, table, key, value, part=""):
        """A write of the operator or of a worker; value is bytes or None."""
        self.ver += 1
        self.write(table, part, key, value)
        self.wake()

    def write(self, table, part, key, value):
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[(table, part, key)] = (self.ver, value)
        self.log.append((self.ver, table, part, key, value))

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, table, part, key, ver, value):
        row = {"table": table, "part": part, "key": key, "ver": ver}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def answer(self, **more):
        return dict({"ver": self.ver, "nowMs": int(now() * 1000)}, **more)

    def transact(self, body):
        try:
            call = json.loads(body)
            expect, sets, drops = (call.get(k) or [] for k in ("expect", "setKeys", "remove"))
            values = [base64.b64decode(s["value"], validate=True) for s in sets]
        except (ValueError, KeyError, TypeError):
            return 400, self.answer()
        if len(body) > BODY_BYTES or len(expect) + len(sets) + len(drops) > ENTRIES \
                or any(len(v) > ROW_BYTES for v in values):
            self.refused += 1
            longest = max([len(v) for v in values] or [0])
            if self.refused <= 5 or self.refused % 50 == 0:
                self.cell.note("store: rows-tx refused with 400 (no. %d): body %d bytes, longest value "
                               "%d bytes, rowBytes %d" % (self.refused, len(body), longest, ROW_BYTES))
            return 400, self.answer()
        if any(e["table"] in ("op", "servers") for e in sets + drops):
            return 403, self.answer()
        current = [self.row(e["table"], e.get("part", ""), e["key"], *self.rows[name])
                   for e in expect for name in [(e["table"], e.get("part", ""), e["key"])]
                   if name in self.rows]
        if any(self.rows.get((e["table"], e.get("part", ""), e["key"]), (0,))[0] != e["ver"]
               for e in expect):
            return 412, self.answer(rows=current)
        self.ver += 1
        for entry, value in zip(sets, values):
            self.write(entry["table"], entry.get("part", ""), entry["key"], value)
        for entry in drops:
            self.write(entry["table"], entry.get("part", ""), entry["key"], None)
        self.wake()
        return 200, self.answer()

    async def handle(self, method, path, query, headers, body):
        query = {key: urllib.parse.unquote(value) for key, value in query.items()}
        if path == "/rows-tx":
            await asyncio.sleep(0.003)
            return self.transact(body)
        if path == "/rows-get":
            await asyncio.sleep(0.002)
            names = sorted(n for n in self.rows if n[0] == query["table"]
                           and n[1] == query.get("part", "") and n[2] >= query.get("from", "")
                           and (not query.get("to") or n[2] < query["to"]))
            rows, size = [], 0
            for name in names:
                if len(rows) >= PAGE_ROWS or size > PAGE_BYTES:
                    break
                rows.append(self.row(*name, *self.rows[name]))
                size += len(self.rows[name][1]) * 4 // 3
            return 200, self.answer(rows=rows, hasMore=len(rows) < len(names))
        if path == "/rows-feed":
            until, after = now() + min(int(query.get("waitMs", 0)), 30000) / 1000, int(query["after"])
            while True:
                found, i = {}, len(self.log)
                while i > 0 and self.log[i - 1][0] > after:
                    i -= 1
                    ver, table, part, key, value = self.log[i]
                    if table == query["table"] and (part, key) not in found:
                        found[(part, key)] = self.row(table, part, key, ver, value)
                left = until - now()
                if found or left <= 0:
                    return 200, self.answer(rows=sorted(found.values(), key=lambda r: r["ver"]))
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Worker:
    """A worker on a machine: one life after another, each with an id of its own."""

    def __init__(self, cell, number, cpu=16000, mem=32768, kind="a", rack=None):
        self.cell, self.number, self.cpu, self.mem = cell, number, cpu, mem
        self.zone, self.labels = ZONES[number % 3], [kind, rack or "r1-%d" % (number // 8)]
        self.address, self.lives, self.up = cell.ip(100 + number), 0, False
        self.seq, self.http, self.gpu = 0, None, 0

    async def boot(self):
        self.lives += 1
        self.id = "i-%04x%04x" % (self.number, random.getrandbits(16))
        self.born_at, self.born = now(), int(time.time() * 1000)
        self.runs, self.closed, self.ends = {}, {}, []
        self.fence = self.last_end = self.lease = 0
        self.waiters, self.up = asyncio.Event(), True
        self.http = Http(self.handle)
        await self.http.start(self.address, 8080)
        self.register()

    def crash(self):
        """The worker ends without notice: nothing that ran there runs on."""
        for task, run in self.runs.items():
            self.cell.on_gone(self, task, run)
        self.up, self.runs = False, {}
        self.http.abort()
        asyncio.get_running_loop().call_later(
            3 * BOUNDS["heartbeatMs"] / 1000, self.unregister, self.id)

    def unregister(self, life):
        self.cell.store.put("servers", life, None)

    def clock(self):
        return int((now() - self.born_at) * 1000)

    def register(self):
        self.seq += 1
        self.cell.store.put("servers", self.id, json.dumps({
            "service": SERVICE, "address": self.address + ":8080", "zone": self.zone, "version": "v1",
            "slots": 8, "state": "ready", "coldLeftMs": 0, "seqNo": self.seq, "clockMs": self.clock(),
            "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": self.gpu}, "labels": self.labels,
            "born": self.born}).encode())

    def checkpoint(self, run):
        """A checkpointing task saves each checkpointS of work; the value has 16 characters."""
        if run["saves"]:
            steps = int((now() - run["at"]) / BOUNDS["checkpointS"])
            if steps > run["steps"]:
                run["steps"] = steps
                run["saved"] = "%016x" % random.getrandbits(64)
        return run["saved"]

    def end(self, task, how):
        run = self.runs.pop(task)
        saved = self.checkpoint(run)
        if how == "stopped" and run["saves"]:
            saved = "%016x" % random.getrandbits(64)
        self.last_end += 1
        self.closed[task] = max(self.closed.get(task, 0), run["run"])
        self.ends.append([self.last_end, task, run["run"], how, "" if how == "done" else saved])
        self.cell.on_end(self, task, run, how)

    def advance(self):
        clock, before = self.clock(), len(self.ends)
        for task in list(self.runs):
            run = self.runs[task]
            if clock >= self.lease:
                self.end(task, "lapsed")
            elif run["stop"] and now() >= run["stop"]:
                self.end(task, "stopped")
            elif not run["stop"] and now() >= run["until"]:
                self.end(task, "failed" if run["fails"] else "done")
        if len(self.ends) > before:
            self.waiters.set()
            self.waiters = asyncio.Event()

    def extend(self, deadline):
        self.lease = max(self.lease, min(deadline, self.clock() + BOUNDS["maxHoldMs"]))

    def lists(self):
        rows = []
        for task, run in self.runs.items():
            share = (now() - run["at"]) / max(run["until"] - run["at"], 0.001)
            percent = 100 if run["lasts"] else min(99, int(100 * share))
            rows.append([task, run["run"], self.checkpoint(run), percent, 0])
        return {"clockMs": self.clock(), "born": self.born, "running": rows,
                "finished": self.ends[:500]}

    async def handle(self, method, path, query, headers, body):
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {}
        self.advance()
        order = json.loads(body)
        token = order.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = token
        if path == "/hold":
            self.ends = [e for e in self.ends if e[0] > order.get("lastSeen", 0)]
            if order.get("deadlineMs"):
                self.extend(order["deadlineMs"])
            wait = min(order.get("waitMs", 0), 2000) / 1000
            if wait and not self.ends:
                try:
                    await asyncio.wait_for(self.waiters.wait(), wait)
                except asyncio.TimeoutError:
                    pass
            return 200, self.lists()
        if path == "/run-start":
            return self.start(order)
        if path == "/run-stop":
            run = self.runs.get(order["task"])
            if run and run["run"] <= order["run"] and not run["stop"]:
                run["stop"] = now() + 0.1
                self.cell.note("worker %s: stop %s run %d" % (self.id, order["task"], order["run"]))
            self.closed[order["task"]] = max(self.closed.get(order["task"], 0), order["run"])
            return 200, {"clockMs": self.clock()}
        return (200, {"clockMs": self.clock()}) if path == "/pace" else (404, {})

    def start(self, order):
        task, number = order["task"], order["run"]
        if task in self.runs and self.runs[task]["run"] == number:
            return 200, {"clockMs": self.clock()}
        if self.closed.get(task, 0) >= number or task in self.runs:
            self.extend(order["deadlineMs"])
            return 409, {"clockMs": self.clock(), "reason": "old"}
        if order["deadlineMs"] < self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        if not self.cell.accepts_ticket(self.id, task, order.get("ticket")):
            return 409, {"clockMs": self.clock(), "reason": "ticket"}
        self.extend(order["deadlineMs"])
        spec = json.loads(order["spec"])
        lasts = spec["ms"] < 0
        self.runs[task] = run = {
            "run": number, "at": now(), "lasts": lasts, "stop": 0, "fails": spec.get("fails", False),
            "until": now() + (1e9 if lasts else spec["ms"] / 1000), "saves": spec.get("saves", False),
            "saved": order.get("checkpoint", ""), "steps": 0}
        self.cell.on_start(self, task, run)
        return 200, {"clockMs": self.clock()}


class Advice:
    """The advice service as one calling machine meets it: it handles one call at a time, in turn."""

    GOOD = 0.7

    def __init__(self, cell, address):
        self.cell, self.address, self.http = cell, address, Http(self.handle)
        self.turn, self.waiting = asyncio.Lock(), 0

    async def handle(self, method, path, query, headers, body):
        if self.waiting >= 32:
            return 429, {}
        call = json.loads(body)
        self.waiting += 1
        async with self.turn:
            times = self.cell.advice_times
            await asyncio.sleep((times["decideMs"] + times["perItemMs"] * len(call["workers"])) / 1000)
        self.waiting -= 1
        good = [[w, self.cell.ticket(call["step"], w)] for w in call["workers"][:100]
                if self.is_good(call["step"], w)]
        return 200, {"good": good, "validMs": self.cell.advice_times["validMs"]}

    def is_good(self, step, worker):
        return random.Random(step + worker).random() < self.GOOD


class Host:
    """A machine of the system, with the two processes of the deploy file."""

    def __init__(self, cell, number):
        self.cell, self.number, self.name = cell, number, "front-%s-%d" % (ZONES[number % 3], number)
        self.ip, self.children = cell.ip(10 + number), {}

    def settings(self):
        """As deploy/settings.json is filled in on a machine of 0.25 cores and 260 MB."""
        path = os.path.join(self.cell.dir, self.name + ".json")
        with open(path, "w") as file:
            json.dump({"name": self.name, "domain": ZONES[self.number % 3], "region": "region",
                       "address": self.ip, "front": self.ip + ":8183", "ready": self.ip + ":8184",
                       "store": self.cell.ip(1) + ":8182", "advice": self.cell.ip(30 + self.number) + ":8182",
                       "link_port": 7420, "relay_port": 7423, "pool_metrics_port": 7421,
                       "front_metrics_port": 7422, "hold_max_ms": BOUNDS["maxHoldMs"],
                       "cpu_share": "0.25", "cores": 1, "link_mbps": "1000.0",
                       "graceful_stop_s": BOUNDS["graceS"], "log_level": "info"}, file)
        return path

    def start(self, *roles):
        for role in roles or ("frontd", "poold"):
            log = open(os.path.join(self.cell.dir, "%s-%s.log" % (self.name, role)), "ab")
            self.children[role] = subprocess.Popen(
                [os.path.join(BIN, "flamingo-" + role), "--settings", self.settings()], cwd=ROOT,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ})
            log.close()

    def signal(self, number, *roles):
        for role in roles or ("frontd", "poold"):
            if role in self.children and self.children[role].poll() is None:
                self.children[role].send_signal(number)

    def kill(self, *roles):
        self.signal(signal.SIGKILL, *roles)
        for role in roles or ("frontd", "poold"):
            if role in self.children:
                self.children[role].wait()

    def ended(self):
        return [role for role, child in self.children.items() if child.poll() is not None]


class Cell:
    def __init__(self, folder, hosts=9, workers=48, **worker_options):
        random.seed()
        self.net = "127.%d.%d." % (random.randint(20, 200), random.randint(1, 250))
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.folder, self.t0 = folder, now()
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.starts, self.ends = [], []  # (time, worker id, task, run), with how for ends
        self.quiet_tasks = False
        # What routes with advice publish, and the tickets: (step, worker) -> until when it is valid.
        self.advice_times = {"decideMs": 420.0, "perItemMs": 6.1, "validMs": 2000}
        self.tickets, self.advised_jobs = {}, set()
        self.store = Store(self)
        self.hosts = [Host(self, i) for i in range(hosts)]
        self.workers = [Worker(self, i, **worker_options) for i in range(workers)]
        self.version, self.jobs = 0, 0
        self.caps = {"one": 0, "two": 0}  # of the tenants; 0 is no limit
        self.routes = [
            {"name": "r-checks", "host": "fair.example", "pathPrefix": "/checks/", "priority": 0,
             "attempts": 3, "stretch": 1.5, "targetLatencyMs": 250, "public": False},
            {"name": "r-rebuild", "host": "fair.example", "pathPrefix": "/rebuild/", "priority": 2,
             "attempts": 3, "stretch": 2.2, "targetLatencyMs": 1200, "public": False},
            {"name": "r-feeds", "host": "fair.example", "pathPrefix": "/feeds/", "priority": 1,
             "attempts": 3, "stretch": 2.2, "targetLatencyMs": 2500, "public": False}]

    def ip(self, number):
        return self.net + str(number)

    def note(self, text):
        self.file.write("%8.3f  %s\n" % (now() - self.t0, text))
        self.file.flush()

    def ticket(self, step, worker):
        self.tickets[(step, worker)] = now() + self.advice_times["validMs"] / 1000
        return "%s|%s" % (step, worker)

    def accepts_ticket(self, worker, task, ticket):
        """Starts on queues with advice carry a valid ticket."""
        step = task.rsplit(".", 1)[0]
        if step.split(".")[0] not in self.advised_jobs:
            return True
        return ticket == "%s|%s" % (step, worker) and now() <= self.tickets.get((step, worker), 0)

    # --- what workers see ---

    def on_start(self, worker, task, run):
        self.starts.append((now() - self.t0, worker.id, task, run["run"]))
        if not self.quiet_tasks:
            self.note("worker %s: start %s run %d" % (worker.id, task, run["run"]))

    def on_end(self, worker, task, run, how):
        self.ends.append((now() - self.t0, worker.id, task, run["run"], how))
        if not self.quiet_tasks:
            self.note("worker %s: end %s run %d %s" % (worker.id, task, run["run"], how))

    def on_gone(self, worker, task, run):
        self.ends.append((now() - self.t0, worker.id, task, run["run"], "crashed"))
        if not self.quiet_tasks:
            self.note("worker %s: %s run %d is gone with the worker" % (worker.id, task, run["run"]))

    def running(self, job):
        return [t for w in self.workers if w.up for t in w.runs if t.startswith(job + ".")]

    # --- operator ---

    def configure(self, routes=None):
        self.version += 1
        routes = self.routes if routes is None else routes
        self.store.put("op", "config", json.dumps({
            "version": self.version,
            "routes": [dict(r, service=SERVICE, routeType="non_idempotent", timeoutMs=3000)
                       for r in routes],
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 64,
                          "rejectsOverload": False, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": name, "apiKeys": ["key-%s-0123456789" % name], "weight": 10,
                         "cap": {"cpu": cap, "memMb": 0, "gpu": 0}}
                        for name, cap in self.caps.items()]}).encode())
        self.note("operator: configuration %d acknowledged, routes %s, caps (cpu) %s"
                  % (self.version, " ".join(r["name"] for r in routes), self.caps))

    # --- clients ---

    async def call(self, host, method, path, body=None, timeout=3.0, port=8183, quiet=False,
                   tenant="one"):
        """A request of a client on a channel of its own. @return (status, object); status 0 means no
        complete answer within the timeout."""
        data = b"" if body is None else json.dumps(body).encode()
        status, value, writer, sent = 0, None, None, now()
        try:
            async def exchange():
                nonlocal writer
                reader, writer = await asyncio.open_connection(host.ip, port)
                writer.write(("%s %s HTTP/1.1\r\nHost: fair.example\r\nContent-Type: application/json"
                              "\r\nAuthorization: Bearer key-%s-0123456789\r\nDeadline-Ms: %d\r\n"
                              "Content-Length: %d\r\n\r\n"
                              % (method, path, tenant, timeout * 1000, len(data)))
                             .encode() + data)
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
                length = next(int(line.split(":")[1]) for line in head.split("\r\n")
                              if line.lower().startswith("content-length:"))
                text = await reader.readexactly(length)
                return int(head.split(" ")[1]), text
            status, text = await asyncio.wait_for(exchange(), timeout)
            try:
                value = json.loads(text)
            except ValueError:
                value = None
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            if writer:
                writer.close()
        if not quiet:
            self.note("client: %s %s at %s after %d ms: %s %s" % (
                method, path, host.name, (now() - sent) * 1000, status or "no answer, channel closed",
                json.dumps(value) if value else ""))
        return status, value

    def new_id(self):
        self.jobs += 1
        return "%08x%08x" % (random.getrandbits(32), self.jobs)

    async def submit(self, path, body, hosts=None, tries=5, tenant="one"):
        """Hands a job in, with the retries of a client. @return whether it was accepted."""
        for i in range(tries):
            host = random.choice(hosts or self.hosts)
            status, _ = await self.call(host, "POST", path, body, tenant=tenant)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, path, hosts=None, quiet=False):
        for i in range(5):
            status, value = await self.call(random.choice(hosts or self.hosts), "GET", path, quiet=quiet)
            if status in (200, 404, 410):
                return value["state"] if status == 200 else str(status)
            await asyncio.sleep(0.2)
        return "no answer"

    # --- life ---

    async def owner(self):
        """The host whose pool process owns the pool, by its metrics. Only used to aim a signal."""
        for host in self.hosts:
            _, text = 0, None
            try:
                reader, writer = await asyncio.open_connection(host.ip, 7421)
                writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                text = await asyncio.wait_for(reader.read(), 1)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                continue
            if b"flamingolane_pool_owned 1" in text:
                return host
        return None

    async def ticks(self):
        last = now()
        while True:
            await asyncio.sleep(0.02)
            for worker in self.workers:
                if worker.up:
                    worker.advance()
            if now() - last >= BOUNDS["heartbeatMs"] / 1000:
                last = now()
                for worker in self.workers:
                    if worker.up:
                        worker.register()

    async def start(self):
        await self.store.http.start(self.ip(1), 8182)
        for host in self.hosts:
            await Advice(self, self.ip(30 + host.number)).http.start(self.ip(30 + host.number), 8182)
        for worker in self.workers:
            await worker.boot()
        self.configure()
        self.ticker = asyncio.ensure_future(self.ticks())
        for host in self.hosts:
            host.start()
        until = now() + 25
        while now() < until:
            ready = [await self.call(h, "GET", "/ready", port=8184, quiet=True) for h in self.hosts]
            if all(status == 200 for status, _ in ready) and await self.owner():
                self.note("all machines are ready")
                await asyncio.sleep(1.0)
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the system did not get ready")

    def stop(self):
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.kill()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.dir, keep, dirs_exist_ok=True)
        shutil.rmtree(self.dir, ignore_errors=True)
        self.file.close()


def main(folder, run, prepare=None, **options):
    """Runs a case. run(cell) returns a list of texts, each a break of the rule; raises Invalid when
    the case could not run. Exits with 1, 0 or 2."""
    if not all(os.access(os.path.join(BIN, "flamingo-" + r), os.X_OK) for r in ("frontd", "poold")):
        print("the programs are not built: run the build command of deploy/system.toml", file=sys.stderr)
        sys.exit(2)

    async def body():
        cell, code = Cell(folder, **options), 2
        try:
            if prepare:
                prepare(cell)
            await cell.start()
            breaks = await asyncio.wait_for(run(cell), 95)
            ended = [(h.name, h.ended()) for h in cell.hosts if h.ended()]
            if ended:
                breaks.append("processes ended by themselves: %s" % ended)
            for text in breaks:
                cell.note("BROKEN: " + text)
            code = 1 if breaks else 0
            cell.note("result: %s" % ("the rule was broken" if breaks else "the rule held"))
            print("\n".join(breaks) or "held")
        except (Invalid, RuntimeError, OSError, asyncio.TimeoutError) as error:
            cell.note("the case could not run: %r" % error)
            print("could not run: %r" % error, file=sys.stderr)
        finally:
            cell.stop()
        return code

    loop = asyncio.new_event_loop()
    task = loop.create_task(body())
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        code = loop.run_until_complete(task)
    except asyncio.CancelledError:
        code = 2
    sys.stdout.flush()
    os._exit(code)


class Invalid(Exception):
    pass
