"""A client hands in one large job whose tasks all fit at once; the platform kills what exceeds its
memory."""
import collections
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins_3"))
import case

STEPS, COUNT = 16, 2000  # 32,000 tasks of 11 thousandths of a core: 352 of 768 cores
SPEC_BYTES = 3900  # of 4,000 that a spec may have


def main(cell):
    cell.enforce_memory()
    traffic = case.Traffic(cell)
    time.sleep(3)
    large = None
    if case.TROUBLE:
        spec = {"ms": 3000, "text": "x" * (SPEC_BYTES - 30)}
        large, status = cell.submit("rebuild", spec, [
            {"count": COUNT, "cpu": 11, "memMb": 10, "estimateMs": 3000} for _ in range(STEPS)])
        if status != 200:
            raise case.CannotRun("the large job was answered %d" % status)
    calm_from = time.monotonic() + case.STABLE_S
    time.sleep(25)
    jobs = traffic.stop()
    time.sleep(case.FINISH_S)
    asked_at = time.monotonic()
    breaches = case.find_idle(cell, jobs, calm_from, asked_at, 48 * 16000)
    events = cell.events()
    starts = collections.Counter(event[4].split(".")[0] == large for event in events
                                 if event[1] == "start")
    cell.log("starts", of_the_large_job=starts[True], of_others=starts[False])
    if large:
        cell.state("rebuild", large)
    kills = collections.Counter(name for _, name, _, _ in cell.memory_kills)
    for name, count in sorted(kills.items()):
        cell.log("killed_for_memory", host=name, times=count)
    # A tenth of nine machines is one: two at least.
    if sum(1 for count in kills.values() if count >= 3) >= 2:
        breaches.insert(0, "Fault: processes ended by themselves three times or more, for memory over "
                        "the limit, on %d of 9 machines: %s" % (
                            sum(1 for count in kills.values() if count >= 3), dict(kills)))
    for line in cell.log_lines("pool_taken"):
        cell.log("program", line=line)
    return breaches

case.run(FOLDER, main, fleets=6)
