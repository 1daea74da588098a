"""A rack loses power while a job of 3,000 tasks has just started there."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_3"))
import case
import wire

RACK = range(8)  # the workers of the rack r0, which are of the kind b
TASKS, DOWN_S = 3000, 4.0


def main(cell):
    traffic = case.Traffic(cell)
    time.sleep(3)
    steps = [{"count": TASKS // 2, "cpu": 20, "memMb": 20, "estimateMs": 10000, "requiredLabel": "b"}
             for _ in range(2)]
    large, status = cell.submit("rebuild", {"ms": 10000}, steps)
    if status != 200:
        raise case.CannotRun("the large job was answered %d" % status)
    until = time.monotonic() + 10
    while cell.counts()["running"] < TASKS and time.monotonic() < until:
        time.sleep(0.05)
    cell.log("running", **cell.counts())
    time.sleep(0.3)
    if case.TROUBLE:
        threads = [threading.Thread(target=cell.crash, args=(i, DOWN_S)) for i in RACK]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    calm_from = time.monotonic() + DOWN_S + case.STABLE_S
    time.sleep(DOWN_S + case.STABLE_S + 8)
    jobs = traffic.stop()
    time.sleep(case.FINISH_S)
    asked_at = time.monotonic()
    breaches = case.find_idle(cell, jobs, calm_from, asked_at, 48 * 16000)
    cell.state("rebuild", large)
    for event in cell.events():
        if event[1] in ("boot", "crash") and event[2] in RACK:
            cell.log("worker", at="%.3f" % (event[0] - cell.begun), what=event[1], worker=event[2])
    for event in cell.events():
        if event[1] == "start" and event[4].split(".")[0] != large:
            cell.log("started", at="%.3f" % (event[0] - cell.begun), task=event[4], run=event[5])
    cell.log("store", **wire.call(cell.platform, "GET", "/counters")[1])
    for line in cell.log_lines("record_cut")[-1:] + cell.log_lines("record_failed")[-1:]:
        cell.log("program", line=line)
    return breaches


case.run(FOLDER, main, fleets=6, kinds=["b"] * 8 + ["a"] * 40)
