"""The process that owns the pool is killed while a wide job is half done."""
import collections
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_3"))
import case

STEPS, COUNT = 11, 2000  # 22,000 tasks of 20 thousandths of a core: 440 of 768 cores


def find_doubled(events):
    """TWICE: a start of a task after a run of it has ended as done, if lastSeen reaches that end; not
    where the lease of the worker lapsed between the two. Returns [(end, seen, start)]."""
    seen = {}  # (life of a worker, number of the end) -> when lastSeen reached it
    for event in events:
        if event[1] == "seen":
            seen[(event[3], event[4])] = event[0]
    lapses = collections.defaultdict(list)
    for event in events:
        if event[1] == "end" and event[7] == "lapsed":
            lapses[event[3]].append(event[0])
    done, doubled = {}, []
    for event in events:
        if event[1] == "end" and event[7] == "done":
            noted = seen.get((event[3], event[4]))
            if noted and not any(event[0] <= t <= noted for t in lapses[event[3]]):
                done.setdefault(event[5], (event, noted))
        elif event[1] == "start" and event[4] in done:
            doubled.append((*done[event[4]], event))
    return doubled


def main(cell):
    job, status = cell.submit("rebuild", {"ms": 1000, "odd_ms": 60000}, [
        {"count": COUNT, "cpu": 20, "memMb": 1, "estimateMs": 10000} for _ in range(STEPS)])
    if status != 200:
        raise case.CannotRun("the job was answered %d" % status)
    until = time.monotonic() + 40
    while time.monotonic() < until:
        time.sleep(1)
        if sum(1 for event in cell.events() if event[1] == "seen") >= STEPS * COUNT // 2:
            break
    time.sleep(case.STABLE_S + 1)
    if case.TROUBLE:
        owner = cell.owner()
        cell.kill(owner, "pool")
        cell.restart_later(owner, "pool")
    time.sleep(20)
    cell.state("rebuild", job)
    events = cell.events()
    kinds = collections.Counter((event[1], event[7] if event[1] in ("end", "seen") else "")
                                for event in events)
    for (kind, how), count in sorted(kinds.items()):
        cell.log("events", kind=kind, how=how, count=count)
    for kind in ("start", "end"):
        seconds = collections.Counter(int(event[0] - cell.begun) for event in events
                                      if event[1] == kind)
        for second in sorted(seconds):
            cell.log("in_a_second", second=second, kind=kind, count=seconds[second])
    doubled = find_doubled(events)
    for end, noted, start in doubled[:200]:
        cell.log("doubled", task=start[4], done_run=end[6], done_worker=end[3],
                 done_at="%.3f" % (end[0] - cell.begun), noted_at="%.3f" % (noted - cell.begun),
                 run=start[5], worker=start[3], started_at="%.3f" % (start[0] - cell.begun))
    for line in cell.log_lines("record_cut")[-1:]:
        cell.log("program", line=line)
    return ["TWICE: task %s started again as run %d, %.1f s after its end as done was taken note of"
            % (start[4], start[5], start[0] - noted) for end, noted, start in doubled]

case.run(FOLDER, main, fleets=6)
