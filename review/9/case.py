"""Workers are cut off and run on, a job is cancelled, the owner of the pool is killed: its tenant's limit is exceeded."""
import json
import os
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import small_cell

CAP_CPU, TASK_CPU, QUOTA_OVERRUN = 48000, 1000, 0.1
CELL = {"hosts": 3, "cap_cpu": CAP_CPU,
        "queues": [{"name": "checks", "pathPrefix": "/checks/", "priority": 0, "attempts": 3}]}
WORKERS, CUT_WORKERS, CUT_S = 12, 2, 5.5
RESTART_S = 0.5
JOB = "00000000000000a1"


class Proxy:
    """Before a worker; while it is cut, nothing passes in either direction, and connections stay open."""

    def __init__(self, port):
        self.worker_port, self.is_cut = port, False
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(client,), daemon=True).start()

    def hold(self):
        while self.is_cut:
            time.sleep(0.02)

    def serve(self, client):
        self.hold()
        try:
            worker = socket.create_connection(("127.0.0.1", self.worker_port))
        except OSError:
            client.close()
            return
        threading.Thread(target=self.pump, args=(client, worker), daemon=True).start()
        self.pump(worker, client)

    def pump(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                self.hold()
                if not data:
                    break
                sink.sendall(data)
        except OSError:
            pass
        for one in (source, sink):
            try:
                one.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def submit(cell, job, count, ms, **step):
    status, _ = cell.request("POST", "/checks/" + job, {
        "spec": json.dumps({"ms": ms}),
        "steps": [dict({"count": count, "cpu": TASK_CPU, "memMb": 10, "estimateMs": ms}, **step)]})
    return status == 200


def judge(cell):
    """Returns the most that the tenant had running at a start, in thousandths of a core, as the workers saw it."""
    running, most = set(), 0
    for event in sorted((event for event in cell.events if "task" in event), key=lambda event: event["at"]):
        key = (event["task"], event["run"], event["worker"])
        if event["event"] == "start":
            running.add(key)
            most = max(most, len(running) * TASK_CPU)
        else:
            running.discard(key)
    return most


def run(cell, trouble):
    proxies = []
    for i in range(WORKERS):
        if i < CUT_WORKERS:
            port = small_cell.free_ports(1)[0]
            proxies.append(Proxy(port))
            cell.add_worker("worker-%02d" % i, port=port, shown_port=proxies[-1].port)
        else:
            cell.add_worker("worker-%02d" % i)
    time.sleep(3)
    if not submit(cell, JOB, 48, 60000, antiAffinity=4):
        raise small_cell.CannotRun("the job was not accepted")
    cell.wait(lambda: sum(len(worker["tasks"]) for worker in cell.workers.values()) == 48, 8, "start of all tasks")
    time.sleep(1)
    started = time.monotonic()
    if trouble:
        for proxy in proxies:
            proxy.is_cut = True
        cell.say("%d of %d workers are cut off, and run on" % (CUT_WORKERS, WORKERS))
    time.sleep(0.5)
    if cell.request("DELETE", "/checks/" + JOB)[0] != 200:
        raise small_cell.CannotRun("the job was not cancelled")
    time.sleep(0.5)
    owner = cell.owner()
    if trouble:
        owner["processes"]["poold"].kill()
        owner["processes"]["poold"].wait()
        cell.say("the owner of the pool, %s, was killed" % owner["name"])
        time.sleep(RESTART_S)
        cell.start_role(owner, "poold")
    cell.wait(cell.owner, 5, "owner of the pool")
    number = 0
    while time.monotonic() < started + CUT_S:
        number += 1
        submit(cell, "%016x" % (0xb000 + number), 12, 20000)
        time.sleep(0.05)
    for proxy in proxies:
        proxy.is_cut = False
    time.sleep(1)
    most, limit = judge(cell), CAP_CPU * (1 + QUOTA_OVERRUN) + TASK_CPU
    cell.say("at the end", most_at_a_start=most, cap=CAP_CPU, limit=limit, jobs_handed_in=number)
    if most > limit:
        return "QUOTA: a start brings what the tenant has running to %d; its cap is %d, the limit %d" % (
            most, CAP_CPU, limit)
    return None


if __name__ == "__main__":
    small_cell.play(HERE, sys.modules[__name__], os.environ.get("TROUBLE", "1") != "0")
