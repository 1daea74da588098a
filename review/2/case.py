"""A client hands in jobs that shall run once a minute; a process that exceeds the memory of its machine
is killed and started again, as the platform does. Jobs of another tenant are handed in as well."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
from cell import TROUBLE, Invalid, main, now  # noqa: E402

MEMORY_BYTES = 260 * 1024 * 1024  # memoryMb
RESTART_S = 1.0
TIMED_JOBS, TIMES, PER_S = 60, 1000, 1.5
SMALL = {"spec": '{"ms": 1000}', "steps": [
    {"count": 2, "cpu": 1000, "memMb": 256, "estimateMs": 1000},
    {"count": 2, "cpu": 1000, "memMb": 256, "estimateMs": 1000, "after": [0]}]}


def timed(times):
    """Three steps of four tasks, every minute from an hour from now on, so many times."""
    return {"spec": '{"ms": 500}', "repeatCount": times, "intervalMs": 60000,
            "startAtMs": int(time.time() * 1000) + 3600 * 1000,
            "steps": [{"count": 4, "cpu": 500, "memMb": 64, "estimateMs": 500},
                      {"count": 4, "cpu": 500, "memMb": 64, "estimateMs": 500, "after": [0]},
                      {"count": 4, "cpu": 500, "memMb": 64, "estimateMs": 500, "after": [1]}]}


def resident_bytes(pid):
    with open("/proc/%d/statm" % pid) as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def restart(host, role):
    await asyncio.sleep(RESTART_S)
    host.start(role)


async def watch_memory(cell, kills):
    """The platform: "a process that exceeds memoryMb is killed", and restarted after a short delay."""
    while True:
        for host in cell.hosts:
            for role, child in list(host.children.items()):
                if child.poll() is not None:
                    continue
                size = resident_bytes(child.pid)
                if size > MEMORY_BYTES:
                    cell.note("platform: %s of machine %s has %.0f MB and is killed"
                              % (role, host.name, size / 1048576))
                    kills.append(host.name)
                    host.kill(role)
                    asyncio.ensure_future(restart(host, role))
        await asyncio.sleep(0.1)


async def run(cell):
    kills, watch = [], None
    watch = asyncio.ensure_future(watch_memory(cell, kills))
    accepted = 0
    for _ in range(TIMED_JOBS):
        begun = now()
        accepted += await cell.submit("/rebuild/" + cell.new_id(), timed(TIMES if TROUBLE else 10))
        await asyncio.sleep(max(begun + 1 / PER_S - now(), 0))
    cell.note("timed jobs accepted: %d; largest process: %.0f MB" % (accepted, max(
        resident_bytes(child.pid) for host in cell.hosts for child in host.children.values()
        if child.poll() is None) / 1048576))
    small = {}
    for _ in range(5):
        path = "/checks/" + cell.new_id()
        if await cell.submit(path, SMALL, tenant="two"):
            small[path] = now()
    if len(small) < 3:
        raise Invalid("the small jobs were not accepted")
    await asyncio.sleep(20)
    breaks = []
    for path, begun in small.items():
        name = path.split("/")[2]
        starts = [t for t, _, task, _ in cell.starts if task.startswith(name + ".")]
        waited = (min(starts) + cell.t0 if starts else now()) - begun
        state = await cell.state(path, quiet=True)
        cell.note("small job %s: shown as %s, %s" % (name, state, "first start after %.1f s" % waited
                                                     if starts else "no start in %.1f s" % waited))
        if waited > 7:
            breaks.append("accepted job %s has nothing running for %.1f s on empty workers; %d processes "
                          "were killed for their memory, on %d machines"
                          % (name, waited, len(kills), len(set(kills))))
    watch.cancel()
    await asyncio.sleep(RESTART_S + 0.2)
    for host in cell.hosts:
        for role in host.ended():
            host.start(role)
    return breaks


main(FOLDER, run)
