"""The checks of the soak: pure functions on what clients and targets saw and on the injected faults.

Times are values of time.monotonic() in seconds. The bounds are those of the rules.
"""
import collections
import threading

REJECTIONS = (429, 503)
STABLE_WINDOW_S = 3.0  # stableWindowMs
GRACE_S = 6.0          # graceS
LOSS_SLACK_S = 0.2     # lossSlackMs
CONFIG_APPLY_S = 2.0   # configApplyMs
VISIBLE_S = 3.0        # visible_ms
# A task that lasts may be down for 6 s after its last run and then, with room and in a calm cell, for
# a further 3 s; the cell is calm if the 3 s and the 4 s before them are.
LASTING_DOWN_S, LASTING_JUDGED_S, LASTING_CALM_S = 6.0, 3.0, 4.0
# Faults that are planned work. All others excuse a request that gets no answer.
PLANNED = ("term", "hup")

# One attempt of a client. status is 0 without a complete reply; is_cut tells that the host ended the
# connection then.
Attempt = collections.namedtuple("Attempt", "job method host sent ended status is_cut")


class Fault:
    """A fault of a kind on a host, "store", "targets" or "operator", in effect from begun to ended."""

    def __init__(self, scope, kind, begun, ended=None):
        self.scope, self.kind, self.begun, self.ended = scope, kind, begun, ended


class FaultLog:
    """All injected faults."""

    def __init__(self, clock):
        self.clock, self.faults, self.lock = clock, [], threading.Lock()

    def begin(self, scope, kind):
        fault = Fault(scope, kind, self.clock())
        with self.lock:
            self.faults.append(fault)
        return fault

    def end(self, fault):
        fault.ended = self.clock()

    def during(self, begin, end, scopes):
        """Returns the faults on the given scopes that were in effect at some time of the span."""
        with self.lock:
            return [fault for fault in self.faults if fault.scope in scopes and fault.begun <= end
                    and (fault.ended is None or fault.ended >= begin)]

    def calm_s(self, now):
        """Returns for how long nothing has been injected, reverted or in effect anywhere."""
        with self.lock:
            if any(fault.ended is None for fault in self.faults):
                return 0.0
            return now - max((fault.ended for fault in self.faults), default=float("-inf"))


def find_refused_starts(jobs, started):
    """REFUSED: returns the ids of started jobs whose client gave up after rejections only.

    jobs: see LoadGenerator; "gave_up" is set once no further attempt follows.
    """
    return [job for job, entry in jobs.items()
            if job in started and entry.get("gave_up") and entry["attempts"]
            and all(status in REJECTIONS for _, status in entry["attempts"])]


def is_planned_loss(attempt, faults):
    """LOST: whether the connection of a request ended without a complete answer, later than
    lossSlackMs after the request was sent, around a SIGTERM or SIGHUP of its host and without any
    other fault on that host or the store. A host that nothing disturbs has read it by then."""
    if (attempt.status or not attempt.is_cut
            or attempt.ended - attempt.sent <= LOSS_SLACK_S):
        return False
    near = faults.during(attempt.sent - STABLE_WINDOW_S, attempt.ended, (attempt.host, "store"))
    if any(fault.kind not in PLANNED for fault in near):
        return False
    return any((fault.kind == "term" and attempt.ended <= fault.begun + GRACE_S + 1)
               or (fault.kind == "hup" and fault.begun <= attempt.ended
                   and attempt.sent <= fault.begun + CONFIG_APPLY_S) for fault in near)


def find_tasks_down(now, expected, down_ms, room_ms, calm_s):
    """LOST: returns the tasks that last and have been down for too long in a calm cell with room.

    expected: task -> when its job was accepted; down_ms: task -> ms since its last run, -1 while it
    runs; a task that is missing there has never started.
    """
    if calm_s < LASTING_CALM_S + LASTING_JUDGED_S or room_ms < 1000 * LASTING_JUDGED_S:
        return []
    limit_s = LASTING_DOWN_S + LASTING_JUDGED_S
    return [task for task, accepted in expected.items()
            if (now - accepted if task not in down_ms else down_ms[task] / 1000) > limit_s]


def is_forgotten(attempt, accepted, faults):
    """LOST: whether a GET for a job accepted at that time was answered 410 by a host in touch."""
    return (attempt.method == "GET" and attempt.status == 410
            and attempt.sent > accepted + VISIBLE_S
            and not faults.during(attempt.sent - STABLE_WINDOW_S, attempt.ended,
                                  (attempt.host, "store")))


class RunJudge:
    """TWICE and LIMIT: judges starts by the events of GET /history, see standin-targets.c.

    A boot ends the runs of the boot before it with the same id; a run of the new boot may have the
    task and the number of one of the old boot. Until an owner knows a boot, it may fill the target
    by the capacity of a boot before it: a start that no owner could prevent is judged by the largest
    capacity since the boot that was known last.
    """

    def __init__(self):
        self.runs = {}      # (target, boot, task, run) -> cpu
        self.capacity = {}  # target -> capacity of its boot
        self.assumed = {}   # target -> largest capacity that an owner may still assume
        self.is_known = {}  # target -> whether an owner has known its boot

    def judge(self, event):
        """Takes the next event. Returns (kind, details) of each violation by it."""
        kind, target, boot = event[1:4]
        if kind == "boot":
            self._begin_boot(target, event[4])
        elif kind == "end":
            self.runs.pop((target, boot, event[4], event[5]), None)
        elif kind == "start":
            return self._judge_start(target, boot, *event[4:])
        return []

    def _begin_boot(self, target, capacity):
        self.runs = {run: cpu for run, cpu in self.runs.items() if run[0] != target}
        # The registry names the capacity of the first boot before any owner can start anything.
        before = self.capacity.get(target, 0)
        if not self.is_known.get(target, True):
            before = self.assumed[target]
        self.is_known[target] = target not in self.capacity
        self.capacity[target], self.assumed[target] = capacity, max(before, capacity)

    def _judge_start(self, target, boot, task, run, cpu, is_known):
        found = []
        start = "task %s run %d at %s boot %d" % (task, run, target, boot)
        others = [other for other in self.runs if other[2] == task]
        if others:
            found.append(("TWICE", "%s, which runs as %s" % (start, others)))
        self.runs[target, boot, task, run] = cpu
        self.is_known[target] |= bool(is_known)
        limit = self.capacity[target] if is_known else self.assumed[target]
        used = sum(other for key, other in self.runs.items() if key[0] == target)
        if used > limit:
            found.append(("LIMIT", "%s: %d of %d in use" % (start, used, limit)))
        return found
