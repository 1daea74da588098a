#!/usr/bin/env python3
"""Checks the tools that run the tests: what scripts/run-tests counts, as a table of fake test programs;
that e2e.py rejects unknown scenarios; what the checks of the soak find in made-up histories; what the
fault proxy loses; and how long the stand-in for the advice service takes. Reports in the format of cmocka."""

import errno
import http.client
import http.server
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import types

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
from cell import BIN, PortAllocator, Process, send_request  # noqa: E402
from faultproxy import FaultProxy  # noqa: E402
import soak_checks as checks  # noqa: E402
from soak_clients import Client  # noqa: E402

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
OK_LINE = "echo '[       OK ] a'"
FAILED_LINE = "echo '[  FAILED  ] b'"

# name, script of the program, expected last line, whether the run passes
CASES = [
    ("passes", OK_LINE, "1 passed, 0 failed", True),
    ("one test fails", "%s; %s; exit 1" % (OK_LINE, FAILED_LINE), "1 passed, 1 failed", False),
    ("fails without a report", "exit 3", "0 passed, 1 failed", False),
    ("crashes without a report", "kill -SEGV $$", "0 passed, 1 failed", False),
    ("crashes after a failed test", "%s; %s; kill -SEGV $$" % (OK_LINE, FAILED_LINE),
     "1 passed, 2 failed", False),
    ("runs no test", "true", "0 passed, 0 failed", False),
]


def run_program(script):
    """Returns the last line and the exit code of scripts/run-tests for one fake program."""
    with tempfile.TemporaryDirectory() as folder:
        program = os.path.join(folder, "fake")
        with open(program, "w") as file:
            file.write("#!/bin/bash\n%s\n" % script)
        os.chmod(program, 0o755)
        result = subprocess.run([os.path.join(ROOT, "scripts", "run-tests"), program], cwd=ROOT,
                                capture_output=True, text=True, check=False)
        return result.stdout.strip().splitlines()[-1], result.returncode


def rejects_unknown_scenario():
    result = subprocess.run([sys.executable, os.path.join(ROOT, "tests", "e2e.py"), "no_such_scenario"],
                            capture_output=True, text=True, check=False, timeout=30)
    return result.returncode == 2 and "no_such_scenario" in result.stderr


def finds_refused(attempts, gave_up=True, started=True):
    jobs = {"j": {"attempts": [("h", status) for status in attempts], "gave_up": gave_up}}
    return bool(checks.find_refused_starts(jobs, {"j"} if started else {"k"}))


def finds_lost(faults, sent=10.0, ended=10.5, status=0, is_cut=True):
    """faults: (host, kind, begin, end) of each."""
    log = checks.FaultLog(lambda: 0.0)
    log.faults = [checks.Fault(*fault) for fault in faults]
    return checks.is_planned_loss(
        checks.Attempt("j", "POST", "h", sent, ended, status, is_cut), log)


def finds_end(script, *signals, age_s=5):
    """Whether the end of a process that got these signals, so long after its start, is found."""
    with tempfile.TemporaryDirectory() as directory:
        process = Process("child", ["sh", "-c", script], directory, prints_port=True)
        process.started_at -= age_s
        for signal_number in signals:
            process.signal_child(signal_number)
        process.child.wait(10)
        process.child.stdout.close()
        process.log_file.close()
        return process.ended_by_itself()


def finds_task_down(down_s, room_s=60, calm_s=60, accepted_s=100):
    """down_s: None for a task that never started. Times are ages at the moment of the check."""
    down_ms = {} if down_s is None else {"t": down_s * 1000}
    return bool(checks.find_tasks_down(100, {"t": 100 - accepted_s}, down_ms, 1000 * room_s, calm_s))


def finds_forgotten(status=410, sent=10.0, accepted=5.0, method="GET", faults=()):
    log = checks.FaultLog(lambda: 0.0)
    log.faults = [checks.Fault(*fault) for fault in faults]
    return checks.is_forgotten(
        checks.Attempt("j", method, "h", sent, sent + 0.1, status, False), accepted, log)


def calm_s(faults, now):
    log = checks.FaultLog(lambda: 0.0)
    log.faults = [checks.Fault("h", "kill", begin, end) for begin, end in faults]
    return log.calm_s(now)


def log_is_calm(faults, begin, end):
    log = checks.FaultLog(lambda: 0.0)
    log.faults = [checks.Fault("h", "kill", *span) for span in faults]
    return log.is_calm(begin, end)


def finds_in_runs(*events):
    """events: those of GET /history without their times. Returns the kinds of what is found."""
    judge = checks.RunJudge()
    return [kind for event in events for kind, _ in judge.judge([0, *event])]


def boot(number, cpu=4, target="a"):
    return ("boot", target, number, cpu)


def start(number, task="x", run=1, cpu=1, target="a", known=True):
    return ("start", target, number, task, run, cpu, known)


def end(number, task="x", run=1, target="a"):
    return ("end", target, number, task, run)


def finds_shrunk(start_ms):
    """Whether a start so long after the capacity has shrunk from 4 to 2, beside one of 2, is found."""
    judge = checks.RunJudge()
    events = [[0, *boot(0)], [0, *start(0, "x", cpu=2)], [0, "capacity", "a", 0, 2],
              [start_ms, *start(0, "y")]]
    return [kind for event in events for kind, _ in judge.judge(event)] == ["LIMIT"]


def finds_evacuated(start_s, domain="d", ended=None, judge=None):
    """Whether a start is found so long after the evacuation of domain d was acknowledged."""
    judge = judge or checks.EvacuationJudge()
    span = judge.begin("d", 10.0)
    judge.begin("d", 90.0)
    if ended is not None:
        judge.end(span, 10.0 + ended)
    judge.judge([0, *boot(0), domain])
    return bool(judge.judge([1000 * (10.0 + start_s), *start(0)]))


def finds_row(start_s, target="d", ended=None):
    """Whether a start is found on target a so long after the row of a target became unreadable."""
    judge = checks.RowJudge()
    span = judge.begin(target, 10.0)
    judge.begin(target, 90.0)
    if ended is not None:
        judge.end(span, 10.0 + ended)
    return bool(judge.judge([1000 * (10.0 + start_s), *start(0)]))


def finds_unanswered(faults=(), ended=10.3, status=0, is_cut=True):
    """faults: (host, kind, begin, end) of each."""
    log = checks.FaultLog(lambda: 0.0)
    log.faults = [checks.Fault(*fault) for fault in faults]
    return checks.is_unanswered(checks.Attempt("j", "POST", "h", 10.0, ended, status, is_cut), log)


def attempts_of_client(ends_first):
    """Returns the status of two attempts, and whether they were cut, on a connection that the host ends
    before the second one or, if not ends_first, 0.3 s after it was sent."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host = types.SimpleNamespace(name="h", front_port=listener.getsockname()[1])
        client, has_closed = Client(None, host, [], 1, 0), threading.Event()

        def serve():
            for i in range(2 if ends_first else 1):
                connection = listener.accept()[0]
                connection.recv(4096)
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                if not ends_first:
                    connection.recv(4096)
                    time.sleep(0.3)
                connection.close()
                has_closed.set()

        thread = threading.Thread(target=serve)
        thread.start()
        client.send(host, "GET", "/")
        if ends_first:
            has_closed.wait()
        client.send(host, "GET", "/")
        thread.join()
    return [(attempt.status, attempt.is_cut) for attempt in client.attempts]


def finds_budget(crashes, starts, scope="targets"):
    """Whether so many starts after so many crashes are found, with a fault on the scope near them."""
    log = checks.FaultLog(lambda: 0.0)
    log.faults = [checks.Fault(scope, "kill", 0.0, 10.0)]
    judge, found = checks.CrashJudge(), []
    for i in range(crashes + starts):
        found += judge.judge([1000, *start(i, run=i)], log)
        if i < crashes:
            judge.judge([1000, "crash", "a", i, "x"], log)
        judge.judge([1000, *boot(i + 1)], log)
    return bool(found)


def may_be_given_up(crashes):
    judge, log = checks.CrashJudge(), checks.FaultLog(lambda: 0.0)
    for i in range(crashes):
        judge.judge([1000, *start(i, "j.0.0.0", run=i)], log)
        judge.judge([1000, *boot(i + 1)], log)
    judge.judge([1000, *start(9, "j.0.0.0", run=9)], log)
    judge.judge([1000, *end(9, "j.0.0.0", run=9)], log)
    return judge.may_be_given_up("j")


OTHER = boot(0, target="b")
# name, what is found, events
RUN_CASES = [
    ("TWICE: on two targets", ["TWICE"],
     [boot(0), OTHER, start(0), start(0, run=2, target="b")]),
    ("TWICE: two runs on one target", ["TWICE"], [boot(0), start(0), start(0, run=2)]),
    ("TWICE: the late start of an ended boot, beside a run elsewhere", ["TWICE"],
     [boot(0), OTHER, start(0), boot(1), start(0, run=2, target="b"), start(1)]),
    ("TWICE: a run elsewhere, beside the late start", ["TWICE"],
     [boot(0), OTHER, boot(1), start(1), start(0, run=2, target="b")]),
    ("TWICE: an end of the old boot does not end the run of the new boot", ["TWICE"],
     [boot(0), OTHER, start(0), boot(1), start(1), end(0), start(0, run=2, target="b")]),
    ("TWICE: an end of another target does not end the run", ["TWICE"],
     [boot(0), OTHER, start(0), end(0, target="b"), start(0, run=2, target="b")]),
    ("TWICE: a start that no owner's knowledge covers", ["TWICE"],
     [boot(0), OTHER, start(0), start(0, run=2, target="b", known=False)]),
    ("TWICE: each of two", ["TWICE", "TWICE"],
     [boot(0), OTHER, start(0), start(0, run=2, target="b"), start(0, run=3, target="b")]),
    ("not TWICE: a boot ends the runs of the boot before", [],
     [boot(0), OTHER, start(0), boot(1), start(0, run=2, target="b")]),
    ("not TWICE: the same run again, in the next boot", [],
     [boot(0), start(0), boot(1), start(1)]),
    ("not TWICE: after the end", [],
     [boot(0), OTHER, start(0), end(0), start(0, run=2, target="b")]),
    ("not TWICE: other tasks", [], [boot(0), start(0), start(0, "y")]),
    ("TWICE: a boot of another target ends no run here", ["TWICE"],
     [boot(0), OTHER, start(0), boot(1, target="b"), start(1, run=2, target="b")]),
    ("LIMIT: over the capacity", ["LIMIT"], [boot(0), start(0, "x", cpu=3), start(0, "y", cpu=2)]),
    ("LIMIT: a single start", ["LIMIT"], [boot(0), start(0, cpu=5)]),
    ("LIMIT: a smaller boot that the owner knows", ["LIMIT"],
     [boot(0), boot(1, 2), start(1, "x"), start(1, "y"), start(1, "z")]),
    ("LIMIT: late starts fill a boot, the next known start is over", ["LIMIT"],
     [boot(0), boot(1, 2), start(1, "x", known=False), start(1, "y", known=False), start(1, "z")]),
    ("LIMIT: unknown boot, over the capacity of the boot before", ["LIMIT"],
     [boot(0), boot(1, 2), start(1, "x", cpu=4, known=False), start(1, "y", known=False)]),
    ("LIMIT: unknown to this owner, but the larger boot was before one that was known", ["LIMIT"],
     [boot(0, 9), boot(1, 2), start(1), boot(2, 1), start(2, "y", cpu=3, known=False)]),
    ("LIMIT: a larger boot, over it", ["LIMIT"], [boot(0), boot(1, 8), start(1, cpu=9)]),
    ("not LIMIT: just full", [], [boot(0), start(0, "x", cpu=3), start(0, "y")]),
    ("not LIMIT: after an end", [],
     [boot(0), start(0, "x", cpu=3), end(0), start(0, "y", cpu=2)]),
    ("not LIMIT: a boot ends the runs of the boot before", [],
     [boot(0), start(0, "x", cpu=4), boot(1), start(1, "y", cpu=4)]),
    ("not LIMIT: a larger boot", [], [boot(0), boot(1, 8), start(1, cpu=8)]),
    ("not LIMIT: no owner can know the smaller boot yet", [],
     [boot(0), boot(1, 2), start(1, cpu=4, known=False)]),
    ("not LIMIT: nor after two boots that no owner knew", [],
     [boot(0), boot(1, 2), boot(2, 1), start(2, cpu=4, known=False)]),
    ("not LIMIT: another target is full", [],
     [boot(0), OTHER, start(0, "x", cpu=4), start(0, "y", cpu=4, target="b")]),
]

def accepts(value, target="a"):
    return ("accepts", target, 0, value)


def finds_start_overdue(*events, accepted=10.0, now=20.0, faults=(), eligible=("a", "b"), cpu=1):
    """events: (time, event of GET /history). Returns whether the wait of job x is found."""
    judge, log = checks.StartJudge(lambda job: eligible), checks.FaultLog(lambda: 0.0)
    log.faults = [checks.Fault("h", "kill", begin, end) for begin, end in faults]
    for time_s, event in events:
        judge.take([1000 * time_s, *event])
    found = judge.judge(now, [("x", accepted, cpu)], log)
    return bool(found) and not judge.judge(now + 1, [("x", accepted, cpu)], log)


A, B = (0, boot(0)), (0, boot(0, target="b"))
FILLS_A, FILLS_B = (1, start(0, "y.0.0.0", cpu=3)), (1, start(0, "z.0.0.0", cpu=3, target="b"))
# name, whether it is found, events, arguments
START_CASES = [
    ("LOST start: never", True, [A], {}),
    ("LOST start: after 3.1 s", True, [A, (13.1, start(0, "x.0.0.0"))], {}),
    ("LOST start: 3 s ago, accepted 3 s before now", True, [A], {"accepted": 17.0}),
    ("LOST start: room on two targets together", True, [A, B, FILLS_A, FILLS_B], {}),
    ("LOST start: room since 3 s", True,
     [A, (1, start(0, "y.0.0.0", cpu=4)), (16.9, end(0, "y.0.0.0"))], {}),
    ("LOST start: room just enough", True, [A], {"cpu": 2}),
    ("LOST start: a fault 7.1 s ago", True, [A], {"faults": [(11.0, 12.9)]}),
    ("LOST start: a fault after the start", True, [A, (13.1, start(0, "x.0.0.0"))],
     {"faults": [(13.5, 14.0)]}),
    ("LOST start: the target accepts starts again", True,
     [A, (5, accepts(False)), (16.9, accepts(True))], {}),
    ("LOST start: another target drains", True, [A, B, (5, accepts(False, "b"))], {}),
    ("LOST start: a new boot is empty", True,
     [A, (1, start(0, "y.0.0.0", cpu=4)), (16, boot(1))], {}),
    ("not LOST start: after 2.9 s", False, [A, (12.9, start(0, "x.0.0.0"))], {}),
    ("not LOST start: accepted 2.9 s ago", False, [A], {"accepted": 17.1}),
    ("not LOST start: started before the reply to the client", False,
     [A, (9.9, start(0, "x.0.0.0"))], {}),
    ("not LOST start: no target is eligible", False, [A], {"eligible": ()}),
    ("not LOST start: room only where it may not run", False, [A, B, FILLS_A], {"eligible": ("a",)}),
    ("not LOST start: room for one only", False, [A, FILLS_A], {}),
    ("not LOST start: no room 2.9 s ago", False,
     [A, (1, start(0, "y.0.0.0", cpu=4)), (17.1, end(0, "y.0.0.0"))], {}),
    ("not LOST start: no room for a moment", False,
     [A, (18, start(0, "y.0.0.0", cpu=4)), (18.1, end(0, "y.0.0.0"))], {}),
    ("not LOST start: the target drains", False, [A, (5, accepts(False))], {}),
    ("not LOST start: the target accepts starts since 2.9 s", False,
     [A, (5, accepts(False)), (17.1, accepts(True))], {}),
    ("not LOST start: a smaller boot", False, [A, (5, boot(1, 1))], {}),
    ("not LOST start: the target is new", False, [(18, boot(0))], {}),
    ("not LOST start: a fault 6.9 s ago", False, [A], {"faults": [(11.0, 13.1)]}),
    ("not LOST start: a fault is in effect", False, [A], {"faults": [(11.0, None)]}),
    ("not LOST start: a fault 6.9 s before the start", False, [A, (19.0, start(0, "x.0.0.0"))],
     {"faults": [(11.0, 12.1)]}),
]

TERM, STORE = ("h", "term", 9.0, 10.6), ("store", "store", 9.8, 10.0)
# A process tells its port when it is ready for signals.
WAIT = "echo port=1; exec sleep 9"
TRAP = "trap '%s' TERM; echo port=1; while :; do sleep 0.01; done"
# name, whether it holds
SOAK_CASES = [
    ("ended: without a signal", finds_end("echo port=1; exit 0")),
    ("ended: by SIGTERM, which it handles by then", finds_end(WAIT, signal.SIGTERM)),
    ("ended: by SIGHUP after SIGTERM", finds_end(TRAP % "kill -HUP $$", signal.SIGTERM)),
    ("ended: by a memory fault after SIGTERM", finds_end(TRAP % "kill -SEGV $$", signal.SIGTERM)),
    ("ended: with 1 after SIGTERM", finds_end(TRAP % "exit 1", signal.SIGTERM)),
    ("not ended: with 0 after SIGTERM", not finds_end(TRAP % "exit 0", signal.SIGTERM)),
    ("not ended: by SIGTERM before it has handlers", not finds_end(WAIT, signal.SIGTERM, age_s=0)),
    ("not ended: by SIGKILL after SIGTERM",
     not finds_end("trap '' TERM; " + WAIT, signal.SIGTERM, signal.SIGKILL)),
    ("REFUSED: one attempt, 503", finds_refused([503])),
    ("REFUSED: 503 and 429", finds_refused([503, 429])),
    ("not REFUSED: one attempt without an answer", not finds_refused([503, 0])),
    ("not REFUSED: one attempt with 504", not finds_refused([504, 503])),
    ("not REFUSED: accepted", not finds_refused([503, 200], gave_up=False)),
    ("not REFUSED: a further attempt follows", not finds_refused([503], gave_up=False)),
    ("not REFUSED: never started", not finds_refused([503], started=False)),
    ("LOST request: cut 0.5 s after it was sent, beside SIGTERM", finds_lost([TERM])),
    ("LOST request: SIGTERM of the host, kill of another",
     finds_lost([TERM, ("other", "kill", 9.0, 11.0)])),
    ("LOST request: beside SIGHUP", finds_lost([("h", "hup", 9.0, 9.0)])),
    ("not LOST request: sent 3 s after SIGHUP", not finds_lost([("h", "hup", 7.5, 7.5)])),
    ("not LOST request: answered", not finds_lost([TERM], status=504, is_cut=False)),
    ("not LOST request: the client gave up", not finds_lost([TERM], is_cut=False)),
    ("not LOST request: cut within lossSlackMs", not finds_lost([TERM], ended=10.15)),
    ("not LOST request: no planned work", not finds_lost([])),
    ("not LOST request: killed as well", not finds_lost([TERM, ("h", "kill", 10.4, 11.0)])),
    ("not LOST request: disturbed 2 s before", not finds_lost([TERM, ("h", "pause", 7.0, 8.0)])),
    ("LIMIT: known to have shrunk", finds_shrunk(5000)),
    ("not LIMIT: shrunk a moment ago", not finds_shrunk(4000)),
    ("EVAC: after 5.1 s", finds_evacuated(5.1)),
    ("EVAC: before its end", finds_evacuated(5.9, ended=6.0)),
    ("not EVAC: after 4.9 s", not finds_evacuated(4.9)),
    ("not EVAC: another domain", not finds_evacuated(5.1, domain="e")),
    ("not EVAC: after its end", not finds_evacuated(6.1, ended=6.0)),
    ("ROW: after 3.1 s", finds_row(3.1, "a")),
    ("ROW: before its end", finds_row(3.9, "a", ended=4.0)),
    ("not ROW: after 2.9 s", not finds_row(2.9, "a")),
    ("not ROW: another target", not finds_row(3.1)),
    ("not ROW: after its end", not finds_row(4.1, "a", ended=4.0)),
    ("unanswered: cut 0.3 s after it was sent", finds_unanswered()),
    ("unanswered: beside a pause and SIGTERM", finds_unanswered([("h", "pause", 9.0, 10.2), TERM])),
    ("unanswered: another host killed", finds_unanswered([("other", "kill", 10.2, 10.4)])),
    ("unanswered: killed 1 s before", finds_unanswered([("h", "kill", 8.0, 9.0)])),
    ("not unanswered: killed", not finds_unanswered([("h", "kill", 10.2, 10.4)])),
    ("not unanswered: cut within lossSlackMs", not finds_unanswered(ended=10.15)),
    ("not unanswered: rejected", not finds_unanswered(status=503, is_cut=False)),
    ("not unanswered: the client gave up", not finds_unanswered(is_cut=False)),
    ("client: sees the end first", attempts_of_client(ends_first=True) == [(200, False)] * 2),
    ("client: cut after the request", attempts_of_client(ends_first=False) == [(200, False), (0, True)]),
    ("BUDGET: three starts after three crashes", finds_budget(3, 3)),
    ("not BUDGET: two starts after three crashes", not finds_budget(3, 2)),
    ("not BUDGET: three starts after two crashes", not finds_budget(2, 1)),
    ("not BUDGET: near a fault of a host", not finds_budget(3, 3, "host-1")),
    ("given up: after two crashes", may_be_given_up(2)),
    ("not given up: after one crash and an end", not may_be_given_up(1)),
    ("not LOST request: the store fails", not finds_lost([TERM, STORE])),
    ("not LOST request: cut later than 1 s after graceS",
     not finds_lost([("h", "term", 2.0, 12.0)])),
    ("LOST task: down 9.1 s", finds_task_down(9.1)),
    ("LOST task: never started", finds_task_down(None, accepted_s=9.1)),
    ("not LOST task: never started, accepted 8 s ago", not finds_task_down(None, accepted_s=8)),
    ("not LOST task: down 8.9 s", not finds_task_down(8.9)),
    ("not LOST task: runs", not finds_task_down(-0.001)),
    ("not LOST task: no room 2.9 s ago", not finds_task_down(20, room_s=2.9)),
    ("not LOST task: fault 6.9 s ago", not finds_task_down(20, calm_s=6.9)),
    ("LOST job: 410 5 s after the ack", finds_forgotten()),
    ("not LOST job: 410 within visible_ms", not finds_forgotten(accepted=8.0)),
    ("not LOST job: host was killed", not finds_forgotten(faults=[("h", "kill", 6.0, 8.0)])),
    ("not LOST job: 410 to DELETE", not finds_forgotten(method="DELETE")),
    ("fault log: calm since the last end", calm_s([(1, 2), (1, 5), (2, 3)], 9) == 4),
    ("fault log: calm before and after a fault", log_is_calm([(4, 5)], 1, 3.9)
     and log_is_calm([(4, 5)], 5.1, 9)),
    ("fault log: not calm around, beside or within a fault", not any(
        log_is_calm([(4, 5)], *span) for span in [(3, 6), (3, 4), (5, 6), (4.2, 4.8)])),
    ("fault log: not calm while a fault is in effect", calm_s([(1, None), (2, 3)], 9) == 0),
]


class CountingHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self):
        self.server.request_count += 1
        self.rfile.read(int(self.headers["Content-Length"]))
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *arguments):
        pass


def post(connection):
    """Returns the status, or "reset" if the connection ends without a reply."""
    try:
        connection.request("POST", "/rows-tx", "x")
        reply = connection.getresponse()
        reply.read()
        return reply.status
    except OSError:
        connection.close()
        return "reset"


def replies_through_proxy(next_mode):
    """Sends three requests, with cut_replies() before the second. Returns the outcome of each, the
    number of requests that were executed, and the outcome of one more after set()."""
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), CountingHandler)
    server.request_count = 0
    threading.Thread(target=server.serve_forever, daemon=True).start()
    proxy = FaultProxy(server.server_address[1])
    connection = http.client.HTTPConnection("127.0.0.1", proxy.port, timeout=5)
    outcomes = [post(connection)]
    proxy.cut_replies(b"POST /rows-tx", next_mode)
    outcomes += [post(connection), post(connection)]
    executed = server.request_count
    proxy.set()
    connection.close()
    outcomes.append(post(connection))
    connection.close()
    proxy.stop()
    server.shutdown()
    return outcomes, executed


def connects_through_proxy():
    """Returns whether connections are refused, not accepted and reset, from refuse_connections() to the
    last of as many accept_connections(), at a port that stays the same."""
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), CountingHandler)
    server.request_count = 0
    server.handle_error = lambda *_: None
    threading.Thread(target=server.serve_forever, daemon=True).start()
    proxy = FaultProxy(server.server_address[1])

    def connect():
        with socket.socket() as connection:
            return connection.connect_ex(("127.0.0.1", proxy.port))

    connection = http.client.HTTPConnection("127.0.0.1", proxy.port, timeout=5)
    outcomes = [post(connection), connect()]
    for change in (proxy.refuse_connections, proxy.refuse_connections, proxy.accept_connections,
                   proxy.accept_connections):
        change()
        outcomes.append(connect())
    outcomes += [post(connection), post(connection)]
    connection.close()
    proxy.set("refuse")
    outcomes += [connect(), post(connection)]
    proxy.stop()
    server.shutdown()
    refused = errno.ECONNREFUSED
    return outcomes == [200, 0, refused, refused, refused, 0, "reset", 200, 0, "reset"]


# mode after the cut, outcomes and executed requests
PROXY_CASES = [("ok", [200, "reset", 200, 200], 3), ("refuse", [200, "reset", "reset", 200], 2),
               ("503", [200, "reset", 503, 200], 2), ("429", [200, "reset", 429, 200], 2)]


def held_requests_delivered():
    """Sends requests while half of the starts and no stops are held back. Returns how many of each
    were answered, whether the rest was held back unexecuted, and the statuses of late deliveries."""
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), CountingHandler)
    server.request_count = 0
    threading.Thread(target=server.serve_forever, daemon=True).start()
    proxy = FaultProxy(server.server_address[1])
    proxy.hold_back({b"/run-start": 0.5}, random.Random(1))
    answered = {"/run-start": 0, "/run-stop": 0}
    for path in list(answered) * 10:
        connection = http.client.HTTPConnection("127.0.0.1", proxy.port, timeout=0.2)
        try:
            # Head and body arrive as two blocks.
            connection.putrequest("POST", path)
            connection.putheader("Content-Length", "7")
            connection.endheaders()
            time.sleep(0.01)
            connection.send(b"{\"a\":1}")
            answered[path] += connection.getresponse().status == 200
        except OSError:
            pass
        connection.close()
    held = proxy.stop_holding_back()
    executed = server.request_count
    statuses = [proxy.deliver(request) for request in held]
    proxy.stop()
    server.shutdown()
    server.server_close()
    nothing_there = proxy.deliver(held[0])
    return {"stops answered": answered["/run-stop"] == 10,
            "some starts answered, the others held back":
                0 < answered["/run-start"] == 10 - len(held) < 10 and executed == 20 - len(held),
            "held back with their bodies": all(r.data.endswith(b"\r\n\r\n{\"a\":1}") for r in held),
            "delivered late": set(statuses) == {200} and server.request_count == 20,
            "delivered to nobody": nothing_there == 0}


def starts_around_cuts():
    """Sends starts, repeated ones, stops and heartbeats to a stand-in target while it is cut off.
    Returns whether each start that was answered 200 has been executed: its run is listed as running
    or ended, and the number of starts that were counted is that of these runs."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Process("targets", [os.path.join(BIN, "standin-targets"), "--platform",
                                    "http://127.0.0.1:9", "--domains", "a", "--count", "1"], folder,
                        prints_port=True)
        control = "http://127.0.0.1:%d" % fleet.port
        url = "http://127.0.0.1:%d" % send_request("GET", control + "/ports")[1]["ports"][0]
        generator, holds = random.Random(1), []

        def order(path, **fields):
            return send_request("POST", url + path, dict(fields, fencingToken=1))

        def send_one(number, clock_ms, started, kind, delay_s):
            time.sleep(delay_s)
            task = "%016x.0.0.%d" % (number // 100, number % 10)  # several orders concern one task
            if kind == "hold":
                order("/hold", lastSeen=0, deadlineMs=clock_ms + 3000, waitMs=200)
            elif kind == "stop":
                order("/run-stop", task=task, run=1)
            elif order("/run-start", task=task, run=1, deadlineMs=clock_ms + 1500, spec=json.dumps(
                    {"ms": generator.choice([-1, 20, 300]), "cpu": 10}))[0] == 200:
                started.add(task)

        for number in range(4):
            clock_ms = order("/hold", lastSeen=0)[1]["clockMs"]
            order("/hold", lastSeen=0, deadlineMs=clock_ms + 6000)
            send_request("POST", control + "/control", {"target": 0, "fault": "cut", "ms": 300})
            started = set()
            threads = [threading.Thread(target=send_one, args=(
                100 * number + i, clock_ms, started,
                generator.choice(["start", "start", "start", "stop", "hold"]),
                generator.uniform(0, 0.35))) for i in range(30)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            report = order("/hold", lastSeen=0)[1]
            there = {row[0] for row in report["running"]} | {row[1] for row in report["finished"]}
            count = send_request("GET", control + "/summary")[1]["starts"]
            holds.append(started and started <= there and count == len(there))
        fleet.stop()
        return all(holds)


def starts_after_ends():
    """Starts a task on a stand-in target, where it ends, and again on another, before or after the end is
    acknowledged. Returns the number of these starts that the summary tells as begun_again, for each case."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Process("targets", [os.path.join(BIN, "standin-targets"), "--platform",
                                    "http://127.0.0.1:9", "--domains", "a", "--count", "2"], folder,
                        prints_port=True)
        control = "http://127.0.0.1:%d" % fleet.port
        urls = ["http://127.0.0.1:%d" % port
                for port in send_request("GET", control + "/ports")[1]["ports"]]

        def order(target, path, **fields):
            return send_request("POST", urls[target] + path, dict(fields, fencingToken=1))[1]

        def begun_again():
            return send_request("GET", control + "/summary")[1]["begun_again"]

        found = []
        for number, (fails, lease_ms, steps) in enumerate(
                [(False, 6000, ["end", "ack", "start"]), (False, 6000, ["end", "start", "ack"]),
                 (False, 6000, ["end", "start", "crash", "ack"]), (True, 6000, ["end", "start", "ack"]),
                 (False, 300, ["end", "lapse", "start", "ack"])]):
            before, task = begun_again(), "%016x.0.0.0" % number
            order(0, "/hold", lastSeen=10 ** 6)
            send_request("POST", control + "/control", {"target": 0, "fault": "crash", "ms": 0})
            time.sleep(0.05)
            for step in ["first"] + steps:
                if step in ("first", "start"):
                    target = 0 if step == "first" else 1
                    clock_ms = order(target, "/hold", lastSeen=0)["clockMs"]
                    order(target, "/run-start", task=task, run=1 + target, spec=json.dumps(
                        {"ms": 20, "cpu": 10, "fail": fails}),
                          deadlineMs=clock_ms + (6000 if target else lease_ms))
                elif step == "ack":
                    order(0, "/hold", lastSeen=1)
                elif step == "crash":
                    send_request("POST", control + "/control", {"target": 0, "fault": "crash", "ms": 0})
                else:
                    time.sleep({"end": 0.1, "lapse": 0.4}[step])
            found.append(begun_again() - before)
        fleet.stop()
        return found


# A long and a short job of the stand-in for the advice service, and its times without faults.
LONG_JOB, SHORT_JOB = "a" * 16, "b" * 16
LONG_TIMES = {"base_ms": 200, "per_target_ms": 50, "valid_ms": 2500}
SHORT_TIMES = {"base_ms": 0, "per_target_ms": 10, "valid_ms": 2500}
# The stand-in runs beside the other tests: calls may take this much longer.
ADVICE_SLACK_S = 0.25
# name, faults, calls as (host, job, targets, when it is sent, timeout), the expected (status, when it ends)
ADVICE_CASES = [
    ("base and targets", [], [(0, LONG_JOB, 2, 0, 5)], [(200, 0.3)]),
    ("times of the job's queue", [], [(0, SHORT_JOB, 20, 0, 5)], [(200, 0.2)]),
    ("an unknown job takes the times of the first queue", [], [(0, "c" * 16, 0, 0, 5)], [(200, 0.2)]),
    ("calls of one host in turn", [],
     [(0, LONG_JOB, 2, 0, 5), (0, SHORT_JOB, 10, 0.05, 5), (0, LONG_JOB, 0, 0.1, 5)],
     [(200, 0.3), (200, 0.4), (200, 0.6)]),
    ("calls of several hosts at once", [], [(0, LONG_JOB, 2, 0, 5), (1, LONG_JOB, 2, 0, 5)],
     [(200, 0.3), (200, 0.3)]),
    ("a call whose caller has given up goes on", [],
     [(0, LONG_JOB, 10, 0, 0.1), (0, SHORT_JOB, 10, 0.3, 5)], [(0, 0.1), (200, 0.8)]),
    ("factor and added time", [{"factor": 2, "added_ms": 100}], [(0, LONG_JOB, 2, 0, 5)], [(200, 0.7)]),
    ("two faults at once", [{"added_ms": 100}, {"added_ms": 200}], [(0, SHORT_JOB, 0, 0, 5)],
     [(200, 0.3)]),
    ("a fault that has ended", [{"added_ms": 500, "duration_ms": 200}],
     [(0, SHORT_JOB, 10, 0.3, 5)], [(200, 0.4)]),
    ("a call that began in a fault", [{"added_ms": 500, "duration_ms": 200}],
     [(0, SHORT_JOB, 0, 0, 5)], [(200, 0.5)]),
    ("a fault of one host", [{"added_ms": 500, "host": 1}],
     [(0, SHORT_JOB, 10, 0, 5), (1, SHORT_JOB, 10, 0, 5)], [(200, 0.1), (200, 0.6)]),
    ("a call that hangs holds the turn", [{"hang_share": 1, "hang_ms": 600, "duration_ms": 100}],
     [(0, SHORT_JOB, 0, 0, 0.3), (0, SHORT_JOB, 10, 0.2, 5)], [(0, 0.3), (200, 0.7)]),
    ("a connection that is closed", [{"close_share": 1}], [(0, SHORT_JOB, 20, 0, 5)], [(0, 0.2)]),
    ("rejected", [{"reject_share": 1, "reject_status": 503}], [(0, LONG_JOB, 2, 0, 5)], [(503, 0)]),
    ("429 with 32 calls waiting", [], [(0, LONG_JOB, 20, 0, 0.3)] + [(0, SHORT_JOB, 0, 0.1, 5)] * 32
     + [(0, SHORT_JOB, 0, 0.5, 5)], [(0, 0.3)] + [(200, 1.2)] * 32 + [(429, 0.5)]),
]


def advice_outcomes(control, ports, calls):
    """Sends the calls. Returns the status of each, and when it ended."""
    outcomes = [None] * len(calls)

    def send_one(i, host, job, count, delay_s, timeout_s):
        time.sleep(delay_s)
        status, _ = send_request("POST", "http://127.0.0.1:%d/advise" % ports[host], {
            "step": job + ".0.0", "workers": ["t-%03d" % n for n in range(count)]}, timeout=timeout_s)
        outcomes[i] = (status, time.monotonic() - begun)

    begun = time.monotonic()
    threads = [threading.Thread(target=send_one, args=(i, *call)) for i, call in enumerate(calls)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    control("reset")
    return outcomes


def advice_results():
    """Returns (name, whether it holds, outcomes) of each of ADVICE_CASES."""
    results = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = Process("targets", [os.path.join(BIN, "standin-targets"), "--platform",
                                    "http://127.0.0.1:9", "--domains", "a", "--count", "1"], folder,
                        prints_port=True)

        def control(action, **settings):
            return send_request("POST", "http://127.0.0.1:%d/advice" % fleet.port,
                                dict(settings, action=action))[1]

        ports = [control("add_host")["port"] for _ in range(2)]
        control("times", queue="long", **LONG_TIMES)
        control("times", queue="short", **SHORT_TIMES)
        control("job", job=LONG_JOB, queue="long")
        control("job", job=SHORT_JOB, queue="short")
        for name, faults, calls, expected in ADVICE_CASES:
            for fault in faults:
                control("fault", **fault)
            outcomes = advice_outcomes(control, ports, calls)
            results.append((name, all(
                status == expected_status and -0.02 <= ended - expected_s <= ADVICE_SLACK_S
                for (status, ended), (expected_status, expected_s) in zip(outcomes, expected)), outcomes))
        fleet.stop()
    return results


def ports_are_free():
    """A host could not listen: once all ports of the range had been used, its first one, which the
    allocator keeps bound, was returned."""
    allocator = PortAllocator()
    return allocator.range_start not in allocator.allocate(2 * allocator.RANGE_SIZE)


def main():
    failed = 0
    for name, script, expected, passes in CASES:
        line, code = run_program(script)
        holds = line == expected and (code == 0) == passes
        failed += 0 if holds else 1
        print("[%s] run-tests: %s%s" % ("       OK " if holds else "  FAILED  ", name,
                                        "" if holds else ": %s, exit %d" % (line, code)))
    holds = rejects_unknown_scenario()
    failed += 0 if holds else 1
    print("[%s] e2e.py: unknown scenario" % ("       OK " if holds else "  FAILED  "))
    holds = ports_are_free()
    failed += 0 if holds else 1
    print("[%s] cell.py: ports of a long run" % ("       OK " if holds else "  FAILED  "))
    for name, holds in SOAK_CASES:
        failed += 0 if holds else 1
        print("[%s] soak: %s" % ("       OK " if holds else "  FAILED  ", name))
    for name, expected, events in RUN_CASES:
        holds = finds_in_runs(*events) == expected
        failed += 0 if holds else 1
        print("[%s] soak: %s" % ("       OK " if holds else "  FAILED  ", name))
    for name, expected, events, arguments in START_CASES:
        holds = finds_start_overdue(*events, **arguments) == expected
        failed += 0 if holds else 1
        print("[%s] soak: %s" % ("       OK " if holds else "  FAILED  ", name))
    for name, holds, outcomes in advice_results():
        failed += 0 if holds else 1
        print("[%s] advice: %s%s" % ("       OK " if holds else "  FAILED  ", name,
                                     "" if holds else ": %s" % outcomes))
    for name, holds in [*held_requests_delivered().items(),
                        ("refuses connections and accepts them again", connects_through_proxy()),
                        ("stand-in target executes starts around cuts", starts_around_cuts()),
                        ("stand-in target counts starts after ends as done",
                         starts_after_ends() == [1, 1, 0, 0, 0])]:
        failed += 0 if holds else 1
        print("[%s] proxy: %s" % ("       OK " if holds else "  FAILED  ", name))
    for next_mode, *expected in PROXY_CASES:
        found = list(replies_through_proxy(next_mode))
        failed += 0 if found == expected else 1
        print("[%s] proxy: reply cut, then %s%s" % (
            "       OK " if found == expected else "  FAILED  ", next_mode,
            "" if found == expected else ": %s" % found))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
