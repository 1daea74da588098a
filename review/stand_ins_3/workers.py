"""Stand-in for workers, after PROTOCOL.md, "Running tasks" and "Service discovery".

workers.py PLATFORM CONTROL_ADDRESS CONTROL_PORT EVENTS_FILE, and on standard input one JSON object:
{"service", "workers": [{"address", "port", "zone", "labels", "capacity"}], "hold_max_ms",
"stop_ms"}. A spec tells what its tasks do: {"ms": work, "odd_ms": work of tasks with an odd index,
"fail_runs": so many runs of each task end as failed, "odd_only": only those of tasks with an odd
index}; with ms -1 a task runs until it is stopped.

POST /control {"worker": N, "fault": "crash", "down_s": S}: the worker N crashes and is back after S
seconds as a new life at its address, with a new id; with S -1 it is lost for good. Its entry in the
store goes after three ping intervals.

Events, one JSON list a line, times on the steady clock of the machine: [t, "boot", worker, id],
[t, "start", worker, id, task, run, token], [t, "end", worker, id, number, task, run, how],
[t, "seen", worker, id, number, task, run, how]: lastSeen reached this end, [t, "crash", worker, id, runs].
"""
import asyncio
import json
import random
import sys
import time

import wire

PING_S = 1.5
ENDS_PER_ANSWER = 500


def now_ms():
    return int(time.monotonic() * 1000)


class Worker:
    def __init__(self, fleet, number, options):
        self.fleet, self.number, self.options = fleet, number, options
        self.connections, self.server = set(), None
        self.reset()

    def reset(self):
        self.id = "i-%010x" % random.getrandbits(40)
        self.born = int(time.time() * 1000)
        self.clock_start = now_ms()
        self.fence, self.deadline = 0, 0
        self.runs = {}  # (task, run) -> [end time or None, how, started]
        self.ended = {}  # task -> highest run that was stopped or ended here
        self.ends, self.last_end = [], 0
        self.wake = asyncio.Event()
        self.up = False

    def clock(self):
        return now_ms() - self.clock_start + 1000

    def note(self, kind, *what):
        self.fleet.note(kind, self.number, self.id, *what)

    # --- life ---

    async def start(self):
        self.reset()
        self.server = await wire.serve(self.options["address"], self.options["port"], self.handle,
                                       self.connections)
        self.up = True
        self.note("boot")
        await self.register()

    async def register(self):
        entry = {"service": self.fleet.service, "version": "v1", "slots": 8, "state": "ready",
                 "address": "%s:%d" % (self.options["address"], self.options["port"]),
                 "zone": self.options["zone"], "labels": self.options["labels"],
                 "capacity": self.options["capacity"], "coldLeftMs": 0, "born": self.born,
                 "clockMs": self.clock(), "seqNo": 1}
        await self.fleet.write("PUT", "/operator/servers/" + self.id, entry)

    async def crash(self, down_s):
        gone = self.id
        self.note("crash", len(self.runs))
        self.up = False
        self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()
        self.runs, self.ends = {}, []

        async def expire():
            await asyncio.sleep(3 * PING_S)
            await self.fleet.write("DELETE", "/operator/servers/" + gone, None)
        self.fleet.spawn(expire())
        if down_s >= 0:
            await asyncio.sleep(down_s)
            await self.start()

    # --- runs ---

    def end(self, key, how):
        if self.runs.pop(key, None) is None:
            return
        task, run = key
        self.ended[task] = max(self.ended.get(task, 0), run)
        self.last_end += 1
        self.ends.append([self.last_end, task, run, how, ""])
        self.note("end", self.last_end, task, run, how)
        self.wake.set()

    def advance(self):
        now = now_ms()
        if self.runs and self.clock() >= self.deadline:
            for key in list(self.runs):
                self.end(key, "lapsed")
            return
        for key in [key for key, run in self.runs.items() if run[0] is not None and run[0] <= now]:
            self.end(key, self.runs[key][1])

    def set_deadline(self, deadline):
        if deadline:
            longest = self.clock() + self.fleet.hold_max_ms
            self.deadline = max(self.deadline, min(deadline, longest))

    def behaviour(self, task, run, text):
        spec = json.loads(text)
        index = int(task.rsplit(".", 1)[1])
        work = spec.get("odd_ms", spec["ms"]) if index % 2 else spec["ms"]
        fails = spec.get("fail_runs", 0)
        count = self.fleet.count_start(task)
        how = "failed" if count <= fails and (index % 2 or not spec.get("odd_only")) else "done"
        if how == "failed":
            work = spec.get("fail_ms", work)
        return (None if work < 0 else now_ms() + work), how

    def run_start(self, body):
        task, run = body["task"], body["run"]
        key = (task, run)
        if key in self.runs:
            return 200, {}
        if self.ended.get(task, 0) >= run:
            self.set_deadline(body["deadlineMs"])
            return 409, {"reason": "old"}
        if body["deadlineMs"] <= self.clock():
            return 409, {"reason": "late"}
        self.set_deadline(body["deadlineMs"])
        end_at, how = self.behaviour(task, run, body["spec"])
        self.runs[key] = [end_at, how, now_ms()]
        self.note("start", task, run, body.get("fencingToken", 0))
        return 200, {}

    def run_stop(self, body):
        key = (body["task"], body["run"])
        if key in self.runs:
            self.runs[key][:2] = [now_ms() + self.fleet.stop_ms, "stopped"]
        else:
            self.ended[body["task"]] = max(self.ended.get(body["task"], 0), body["run"])
        return 200, {}

    async def hold(self, body):
        self.set_deadline(body.get("deadlineMs"))
        seen = body.get("lastSeen", 0)
        while self.ends and self.ends[0][0] <= seen:
            number, task, run, how, _ = self.ends.pop(0)
            self.note("seen", number, task, run, how)
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not self.ends and self.up and time.monotonic() < until:
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        now = now_ms()
        rows = [[task, run, "", 100 if state[0] is None
                 else min(99, 100 * (now - state[2]) // max(state[0] - state[2], 1)), 0]
                for (task, run), state in self.runs.items()]
        return 200, {"born": self.born, "running": rows, "finished": self.ends[:ENDS_PER_ANSWER]}

    async def handle(self, method, target, headers, data):
        if target == "/health":
            return 200, {}
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {}
        self.advance()
        body = json.loads(data)
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = token
        if target == "/run-start":
            status, reply = self.run_start(body)
        elif target == "/run-stop":
            status, reply = self.run_stop(body)
        elif target == "/hold":
            status, reply = await self.hold(body)
        else:
            status, reply = 200, {}
        return status, dict(reply, clockMs=self.clock())


class Fleet:
    def __init__(self, platform, events, options):
        self.platform, self.events = platform, open(events, "w")
        self.service = options["service"]
        self.hold_max_ms, self.stop_ms = options["hold_max_ms"], options["stop_ms"]
        self.workers = [Worker(self, w["number"], w) for w in options["workers"]]
        self.counts, self.tasks = {}, set()

    def note(self, kind, *what):
        self.events.write(json.dumps([round(time.monotonic(), 3), kind, *what]) + "\n")

    def count_start(self, task):
        # A task's own fault: its first runs fail wherever they are.
        self.counts[task] = self.counts.get(task, 0) + 1
        return self.counts[task]

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def write(self, method, path, body):
        await asyncio.get_running_loop().run_in_executor(
            None, lambda: wire.call(self.platform, method, path, body))

    async def control(self, method, target, headers, data):
        order = json.loads(data or b"{}")
        if target == "/counts":
            self.events.flush()
            return 200, {"running": sum(len(w.runs) for w in self.workers),
                         "starts": sum(self.counts.values()), "tasks": len(self.counts)}
        for worker in self.workers:
            if worker.number == order["worker"] and worker.up:
                self.spawn(worker.crash(order["down_s"]))
        return 200, {}

    async def tick(self):
        while True:
            for worker in self.workers:
                if worker.up:
                    worker.advance()
            self.events.flush()
            await asyncio.sleep(0.01)


async def main(platform, address, port, events):
    fleet = Fleet(platform, events, json.loads(sys.stdin.readline()))
    for worker in fleet.workers:
        await worker.start()
    await wire.serve(address, port, fleet.control)
    print("ready", flush=True)
    await fleet.tick()

if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], int(sys.argv[3]), sys.argv[4]))
