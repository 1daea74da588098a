"""A machine freezes with a client's job in its channel; the client gives up and cancels."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
from cell import BOUNDS, TROUBLE, Invalid, main, now  # noqa: E402

FREEZE_S = 3.5
TASK = {"spec": '{"ms": 2500}', "steps": [
    {"count": 2, "cpu": 1000, "memMb": 256, "estimateMs": 2500},
    {"count": 2, "cpu": 1000, "memMb": 256, "estimateMs": 2500, "after": [0]},
    {"count": 2, "cpu": 1000, "memMb": 256, "estimateMs": 2500, "after": [1]}]}


async def run(cell):
    owner = await cell.owner()
    if owner is None:
        raise Invalid("no owner")
    # Calm machines: the owner, which starts tasks, and one more, which takes the cancelling.
    frozen, other = [h for h in cell.hosts if h is not owner][:2]
    job = cell.new_id()
    path = "/checks/" + job
    if TROUBLE:
        cell.note("machine %s: SIGSTOP to its processes, for %.1f s" % (frozen.name, FREEZE_S))
        frozen.signal(signal.SIGSTOP)
        thaw = now() + FREEZE_S
    status, _ = await cell.call(frozen, "POST", path, TASK, timeout=3.0)
    if TROUBLE and status:
        raise Invalid("a frozen machine answered")
    acked = None
    for _ in range(4):
        status, _ = await cell.call(other, "DELETE", path)
        if status in (200, 410):
            acked = now() - cell.t0
            break
    if acked is None:
        raise Invalid("the cancelling was not acknowledged")
    if TROUBLE:
        await asyncio.sleep(max(thaw - now(), 0))
        cell.note("machine %s: SIGCONT" % frozen.name)
        frozen.signal(signal.SIGCONT)
    await asyncio.sleep(12)
    state = await cell.state(path, [other])
    cell.note("client: the job is shown as %s" % state)
    late = [(t, w, task) for t, w, task, _ in cell.starts
            if task.startswith(job + ".") and t > acked + BOUNDS["cancel_ms"] / 1000]
    return ["task %s is started on %s, %.0f ms after the cancelling was acknowledged"
            % (task, w, (t - acked) * 1000) for t, w, task in late]


main(FOLDER, run)
