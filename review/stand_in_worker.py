"""A worker of the platform, as PROTOCOL.md describes it: one process, one boot.

Arguments: store address, id, own port, service, kind label, rack label, cpu, memMb, the port that it tells.
A task's spec is JSON: "ms" is its duration, without it the task lasts; "fail": true ends it as failed.
Each start and end is printed as a line of JSON.
"""
import http.client
import http.server
import json
import sys
import threading
import time

STORE, ID, PORT, SERVICE, KIND, RACK, CPU, MEM, SHOWN_PORT = sys.argv[1:10]
MAX_HOLD_MS, STOP_MS, HEARTBEAT_S = 6000, 50, 1.5
BORN = int(time.time() * 1000)
T0 = time.monotonic()
cond = threading.Condition()
running, ended, finished = {}, {}, []  # task -> run; task -> highest run ended or stopped; list of ends
state = {"fence": 0, "deadline": 0, "n": 0, "seq": 0}


def clock():
    return 1000 + int((time.monotonic() - T0) * 1000)


def say(**fields):
    print(json.dumps(dict(fields, at=round(time.time(), 3), worker=ID, born=BORN)), flush=True)


def end(task, how):
    run = running.pop(task)
    ended[task] = max(ended.get(task, 0), run["run"])
    state["n"] += 1
    finished.append([state["n"], task, run["run"], how, ""])
    say(event="end", task=task, run=run["run"], how=how)
    cond.notify_all()


def extend(deadline):
    if isinstance(deadline, int):
        state["deadline"] = max(state["deadline"], min(deadline, clock() + MAX_HOLD_MS))


def timer():
    while True:
        time.sleep(0.01)
        with cond:
            now = clock()
            for task, run in list(running.items()):
                if now >= state["deadline"]:
                    end(task, "lapsed")
                elif run["stop"] and now >= run["stop"]:
                    end(task, "stopped")
                elif run["ms"] is not None and now >= run["started"] + run["ms"]:
                    end(task, "failed" if run["fail"] else "done")


def entry():
    state["seq"] += 1
    return {"service": SERVICE, "address": "127.0.0.1:" + SHOWN_PORT, "zone": "zone-a", "version": "1",
            "slots": 8, "state": "ready", "coldLeftMs": 0, "seqNo": state["seq"], "born": BORN,
            "capacity": {"cpu": int(CPU), "memMb": int(MEM), "gpu": 0}, "labels": [KIND, RACK]}


def register():
    while True:
        try:
            link = http.client.HTTPConnection(STORE, timeout=1)
            link.request("PUT", "/operator/servers/" + ID, json.dumps(entry()))
            link.getresponse().read()
            link.close()
        except OSError:
            pass
        time.sleep(HEARTBEAT_S)


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = -1

    def log_message(self, *args):
        pass

    def reply(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def do_GET(self):
        self.reply(200, {})

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or b"{}")
        intended = self.headers.get("Expect-Instance")
        if intended and intended != ID:
            self.reply(421, {"clockMs": clock(), "born": BORN})
            return
        with cond:
            token = body.get("fencingToken", 0)
            if token < state["fence"]:
                self.reply(409, {"clockMs": clock(), "reason": "fence", "born": BORN})
                return
            state["fence"] = token
            status, answer = {"/run-start": self.start, "/run-stop": self.stop, "/hold": self.hold,
                              "/pace": self.pace}[self.path](body)
            answer = dict(answer, clockMs=clock(), born=BORN)
        self.reply(status, answer)

    def start(self, body):
        task, number = body["task"], body["run"]
        if clock() > body.get("deadlineMs", 0):
            return 409, {"reason": "late"}
        if task in running and running[task]["run"] == number:
            extend(body["deadlineMs"])
            return 200, {}
        if task in running or number <= ended.get(task, 0):
            extend(body["deadlineMs"])
            return 409, {"reason": "old"}
        spec = json.loads(body["spec"])
        running[task] = {"run": number, "started": clock(), "ms": spec.get("ms"),
                         "fail": spec.get("fail", False), "stop": 0}
        extend(body["deadlineMs"])
        say(event="start", task=task, run=number, token=body.get("fencingToken", 0))
        return 200, {}

    def stop(self, body):
        task, number = body["task"], body["run"]
        run = running.get(task)
        if run and run["run"] == number:
            run["stop"] = run["stop"] or clock() + STOP_MS
        else:
            ended[task] = max(ended.get(task, 0), number)
        return 200, {}

    def pace(self, body):
        return 200, {}

    def hold(self, body):
        extend(body.get("deadlineMs"))
        finished[:] = [row for row in finished if row[0] > body.get("lastSeen", 0)]
        limit = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not finished and time.monotonic() < limit:
            cond.wait(limit - time.monotonic())
        rows = []
        for task, run in running.items():
            age = clock() - run["started"]
            percent = min(100, age // 3) if run["ms"] is None else min(99, age * 100 // max(run["ms"], 1))
            rows.append([task, run["run"], "", percent, 0])
        return 200, {"running": rows, "finished": finished[:500]}


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        pass  # a caller that has ended


say(event="boot")
server = Server(("127.0.0.1", int(PORT)), Handler)
threading.Thread(target=timer, daemon=True).start()
threading.Thread(target=register, daemon=True).start()
server.serve_forever()
