"""What all cases share: the end after 115 s, traffic of small jobs, and exit codes (1: the rule was
broken, 0: it held, 2: the case could not run)."""
import os
import sys
import threading
import time
import traceback

from cell import Cell

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 115
# Bounds of the site.
STABLE_S, FINISH_S, IDLE_S = 3.0, 14.0, 3.0


class CannotRun(Exception):
    pass


def run(folder, main, **options):
    """Runs main(cell) -> list of breaches, and exits."""
    cell, code = None, 2

    def give_up():
        print("could not run: not done after %d s" % LIMIT_S, flush=True)
        if cell is not None:
            cell.stop()
        os._exit(2)
    watchdog = threading.Timer(LIMIT_S, give_up)
    watchdog.daemon = True
    watchdog.start()
    try:
        cell = Cell(os.path.join(folder, "record.txt"), **options)
        cell.log("begun", trouble=int(TROUBLE))
        if not cell.wait_until_ready():
            raise CannotRun("the cell was not ready")
        breaches = main(cell)
        for breach in breaches[:40]:
            cell.log("BREACH", what=breach)
        cell.log("verdict", breaches=len(breaches))
        print("%d breaches%s" % (len(breaches), ", the first: " + breaches[0] if breaches else ""))
        code = 1 if breaches else 0
    except Exception as error:
        print("could not run: %s" % error)
        if not isinstance(error, CannotRun):
            traceback.print_exc()
    finally:
        if cell is not None:
            cell.stop()
    sys.stdout.flush()
    os._exit(code)


class Traffic:
    """Small urgent jobs, one each interval, until stop(): four tasks of half a second."""

    STEPS = [{"count": 4, "cpu": 1000, "memMb": 500, "estimateMs": 500}]

    def __init__(self, cell, interval_s=1.0):
        self.cell, self.interval_s, self.jobs, self.ended = cell, interval_s, [], threading.Event()
        self.thread = threading.Thread(target=self.send, daemon=True)
        self.thread.start()

    def send(self):
        while not self.ended.wait(self.interval_s):
            sent = time.monotonic()
            job, status = self.cell.submit("check", {"ms": 500}, self.STEPS)
            self.jobs.append((job, status, sent, time.monotonic()))

    def stop(self):
        self.ended.set()
        self.thread.join()
        return [(job, sent, acked) for job, status, sent, acked in self.jobs if status == 200]


def runs_of(events):
    """Returns {job: [(start, end or None)]} from the events of workers; a crash ends runs."""
    runs, open_runs = {}, {}
    for event in events:
        t, kind, worker = event[:3]
        if kind == "start":
            key = (worker, event[4], event[5])
            row = [t, None]
            open_runs[key] = row
            runs.setdefault(event[4].split(".")[0], []).append(row)
        elif kind == "end":
            row = open_runs.pop((worker, event[5], event[6]), None)
            if row:
                row[1] = t
        elif kind == "crash":
            for key in [key for key in open_runs if key[0] == worker]:
                open_runs.pop(key)[1] = t
    return runs


def find_idle(cell, jobs, calm_from, asked_at, total_cpu):
    """LOST, at the end of the traffic: accepted jobs that nobody has cancelled, that are not shown
    as completed, and of which nothing ran in the last 3 s, while under half of the capacity is in use.
    The jobs of Traffic have one step, so that the turn of their tasks has come at once."""
    events = cell.events()
    runs = runs_of(events)
    done = {event[5] for event in events if event[1] == "end" and event[7] == "done"}
    busy = cell.counts().get("running", 0)
    cell.log("running", tasks=busy, capacity_cpu=total_cpu)
    breaches = []
    for job, sent, acked in jobs:
        status, state = cell.state("check", job)
        if status != 200:
            breaches.append("LOST: job %s is answered %d" % (job, status))
            continue
        waiting = [i for i in range(4) if "%s.0.0.%d" % (job, i) not in done]
        if state == "completed" or not waiting:
            continue
        mine = runs.get(job, [])
        last = max([asked_at if end is None else end for _, end in mine], default=0)
        idle = asked_at - max(last, acked, calm_from)
        if idle >= IDLE_S:
            breaches.append("LOST: job %s, accepted %.1f s before, is %s and has had nothing running "
                            "for %.1f s; tasks whose turn has come: %d, runs ever: %d"
                            % (job, asked_at - acked, state, idle, len(waiting), len(mine)))
    return breaches
