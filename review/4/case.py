"""A version of the configuration replaces a route by one of another name; then the machine that gives
the orders is killed. Jobs that were accepted before go on to their second step."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
from cell import TROUBLE, Invalid, main, now  # noqa: E402

DARK_S = 3.5
BODY = {"spec": '{"ms": 3000}', "steps": [
    {"count": 2, "cpu": 1000, "memMb": 256, "estimateMs": 3000},
    {"count": 2, "cpu": 1000, "memMb": 256, "estimateMs": 3000, "after": [0]},
    {"count": 2, "cpu": 1000, "memMb": 256, "estimateMs": 3000, "after": [1]}]}


async def run(cell):
    jobs = {}
    for _ in range(4):
        path = "/rebuild/" + cell.new_id()
        if not await cell.submit(path, BODY):
            raise Invalid("a job was not accepted")
        jobs[path] = path.split("/")[2]
    await asyncio.sleep(1)
    owner = await cell.owner()
    if TROUBLE:
        # The same host, prefix and service: clients notice nothing.
        cell.configure([dict(r, name="r-rebuild-b") if r["name"] == "r-rebuild" else r
                        for r in cell.routes])
        await asyncio.sleep(4)
        cell.note("machine %s: SIGKILL to its processes" % owner.name)
        owner.kill()
        await asyncio.sleep(DARK_S)
        cell.note("machine %s: its processes are started again" % owner.name)
        owner.start()
    else:
        await asyncio.sleep(4)
    # From 4 s after the last disturbance on, all is calm. For how long has a job nothing running?
    await asyncio.sleep(10)
    calm, breaks = now(), []
    idle, longest = {}, dict.fromkeys(jobs.values(), 0)
    while now() < calm + 15:
        for name in jobs.values():
            done = {t for *_, t, _, how in cell.ends if how == "done" and t.startswith(name + ".")}
            if len(done) == 6 or cell.running(name):
                idle.pop(name, None)
            else:
                longest[name] = max(longest[name], now() - idle.setdefault(name, now()))
        await asyncio.sleep(0.05)
    for path, name in jobs.items():
        done = {t for *_, t, _, how in cell.ends if how == "done" and t.startswith(name + ".")}
        state = await cell.state(path)
        cell.note("job %s: shown as %s, %d of 6 tasks done, nothing running for %.1f s"
                  % (name, state, len(done), longest[name]))
        if longest[name] > 3:
            breaks.append("accepted job %s (shown as %s, %d of 6 tasks done) has nothing running for "
                          "%.1f s in calm, on empty workers" % (name, state, len(done), longest[name]))
    return breaks


main(FOLDER, run)
