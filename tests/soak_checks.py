"""The checks of the soak: pure functions on what clients and targets saw and on the injected faults.

Times are values of time.monotonic() in seconds. The bounds are those of the rules.
"""
import bisect
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
# A job of which a task may start has a running task within 3 s if there is room for ROOM_TASKS such
# tasks and the cell is calm for these 3 s and the 4 s before them.
START_WAIT_S, START_CALM_S, ROOM_TASKS = 3.0, 4.0, 2
# A shrunk capacity counts after stableWindowMs and one heartbeatMs of the targets.
RESIZE_KNOWN_S = STABLE_WINDOW_S + 1.5
# A task that crashes its targets is not started three times more after three; after two it may be given
# up.
CRASHES_MAX, CRASHES_GIVEN_UP = 3, 2
EVACUATION_S = 5.0  # evacuateMs
ROW_READ_S = 3.0  # an owner in touch has read a row of the registry
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

    def add(self, fault):
        """Adds a fault that was not injected: a task has crashed its target."""
        with self.lock:
            self.faults.append(fault)

    def during(self, begin, end, scopes):
        """Returns the faults on the given scopes that were in effect at some time of the span."""
        with self.lock:
            return [fault for fault in self.faults if fault.scope in scopes and fault.begun <= end
                    and (fault.ended is None or fault.ended >= begin)]

    def is_calm(self, begin, end):
        """Returns whether no fault was injected, reverted or in effect in the span."""
        with self.lock:
            return not any(fault.begun <= end and (fault.ended is None or fault.ended >= begin)
                           for fault in self.faults)

    def only_on_targets(self, begin, end):
        """Returns whether all faults of the span were faults of targets."""
        with self.lock:
            return all(fault.scope == "targets" for fault in self.faults if fault.begun <= end
                       and (fault.ended is None or fault.ended >= begin))

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


def is_unanswered(attempt, faults):
    """LOST: whether the host ended the connection of a whole request without an answer, although it
    was not killed. An end within lossSlackMs may have crossed the request on its way."""
    return (not attempt.status and attempt.is_cut and attempt.ended - attempt.sent > LOSS_SLACK_S
            and not any(fault.kind == "kill" for fault in faults.during(
                attempt.sent, attempt.ended, (attempt.host,))))


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


def is_start_overdue(accepted, until, cpu, free_cpu, faults):
    """LOST: whether a job that was accepted but had no task started until then waited too long.

    cpu: of its first task; free_cpu: for each target that may run it, the CPU that was free
    throughout the START_WAIT_S before.
    """
    return (until - accepted >= START_WAIT_S
            and faults.is_calm(until - START_WAIT_S - START_CALM_S, until)
            and sum(free // cpu for free in free_cpu) >= ROOM_TASKS)


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
    capacity since the boot that was known last. A capacity that has shrunk counts RESIZE_KNOWN_S later.
    """

    def __init__(self):
        self.runs = {}      # (target, boot, task, run) -> cpu
        self.capacity = {}  # target -> capacity of its boot
        self.assumed = {}   # target -> largest capacity that an owner may still assume
        self.is_known = {}  # target -> whether an owner has known its boot
        self.resizes = {}   # target -> [(time, capacity until then)] of its boot

    def judge(self, event):
        """Takes the next event. Returns (kind, details) of each violation by it."""
        kind, target, boot = event[1:4]
        if kind == "boot":
            self._begin_boot(target, event[4])
        elif kind == "end":
            self.runs.pop((target, boot, event[4], event[5]), None)
        elif kind == "capacity":
            self.resizes.setdefault(target, []).append((event[0], self.capacity[target]))
            self.capacity[target] = event[4]
            self.assumed[target] = max(self.assumed[target], event[4])
        elif kind == "start":
            return self._judge_start(event[0], target, boot, *event[4:])
        return []

    def _begin_boot(self, target, capacity):
        self.runs = {run: cpu for run, cpu in self.runs.items() if run[0] != target}
        # The registry names the capacity of the first boot before any owner can start anything.
        before = self.capacity.get(target, 0)
        if not self.is_known.get(target, True):
            before = self.assumed[target]
        before = max([before] + [cpu for _, cpu in self.resizes.pop(target, [])])
        self.is_known[target] = target not in self.capacity
        self.capacity[target], self.assumed[target] = capacity, max(before, capacity)

    def _judge_start(self, time_ms, target, boot, task, run, cpu, is_known):
        found = []
        start = "task %s run %d at %s boot %d" % (task, run, target, boot)
        others = [other for other in self.runs if other[2] == task]
        if others:
            found.append(("TWICE", "%s, which runs as %s" % (start, others)))
        self.runs[target, boot, task, run] = cpu
        self.is_known[target] |= bool(is_known)
        limit = self.capacity[target] if is_known else self.assumed[target]
        limit = max([limit] + [cpu for until, cpu in self.resizes.get(target, [])
                               if time_ms - until < 1000 * RESIZE_KNOWN_S])
        used = sum(other for key, other in self.runs.items() if key[0] == target)
        if used > limit:
            found.append(("LIMIT", "%s: %d of %d in use" % (start, used, limit)))
        return found


class EvacuationJudge:
    """EVAC: judges starts in failure domains that are evacuated, by the events of GET /history."""

    BOUND_S, CAUSE = EVACUATION_S, "the evacuation of"

    def __init__(self):
        self.domains = {}  # target -> its domain
        self.spans = []    # [domain, when its evacuation was acknowledged, its end or None]

    def domain(self, target):
        return self.domains[target]

    def begin(self, domain, time_s):
        """Returns the span, for end()."""
        self.spans.append([domain, time_s, None])
        return self.spans[-1]

    @staticmethod
    def end(span, time_s):
        span[2] = time_s

    def judge(self, event):
        """Returns the details of each violation by the event."""
        time_s, (kind, target) = event[0] / 1000, event[1:3]
        if kind == "boot":
            self.domains[target] = event[5]
        if kind != "start":
            return []
        return ["task %s at %s, %.1f s after %s %s" % (
                    event[4], target, time_s - begun, self.CAUSE, domain)
                for domain, begun, ended in self.spans
                if domain == self.domain(target) and time_s > begun + self.BOUND_S
                and (ended is None or time_s < ended)]


class RowJudge(EvacuationJudge):
    """ROW: judges starts on targets whose rows in the registry are unreadable."""

    BOUND_S, CAUSE = ROW_READ_S, "the row became unreadable of"

    def domain(self, target):
        return target


class CrashJudge:
    """BUDGET: judges the starts of tasks that crash their targets, by the events of GET /history; and
    knows under which tasks targets have crashed, which is the cause that a job may be given up for."""

    def __init__(self):
        self.runs = {}            # (target, task, run) -> boot
        self.caused = collections.Counter()   # task -> targets that it has crashed
        self.under = collections.Counter()    # task -> targets that have crashed while it ran there
        self.starts_after = collections.Counter()  # task -> starts after CRASHES_MAX of its crashes

    def judge(self, event, faults):
        """Returns the details of each violation by the event. Starts near a fault of a host or of the
        store may be those of an owner that is not in touch."""
        time_s, (kind, target, boot) = event[0] / 1000, event[1:4]
        if kind == "crash":
            self.caused[event[4]] += 1
        elif kind == "boot":
            for key in [key for key in self.runs if key[0] == target]:
                self.under[key[1]] += 1
                del self.runs[key]
        elif kind == "end":
            self.runs.pop((target, event[4], event[5]), None)
        elif kind == "start":
            task = event[4]
            self.runs[target, task, event[5]] = boot
            if self.caused[task] >= CRASHES_MAX and faults.only_on_targets(time_s - STABLE_WINDOW_S,
                                                                           time_s):
                self.starts_after[task] += 1
                if self.starts_after[task] == CRASHES_MAX:
                    return ["%s was started %d times more" % (task, CRASHES_MAX)]
        return []

    def may_be_given_up(self, job):
        """Whether two targets have crashed under a task of the job."""
        return any(count >= CRASHES_GIVEN_UP for task, count in self.under.items()
                   if task.partition(".")[0] == job)


class StartJudge:
    """LOST: judges how long jobs wait for their first start, by the events of GET /history and by
    eligible(job), which returns the targets that may run the first step of the job."""

    def __init__(self, eligible):
        self.eligible = eligible
        self.first_starts = {}  # job -> time
        self.capacity = {}      # target -> CPU of its boot
        self.refusing = set()   # targets that accept no starts
        self.runs = {}          # (target, task, run) -> cpu
        self.free = {}          # target -> [(time, CPU that is free from then on)]
        self.judged = set()     # jobs that have started, or were found

    def take(self, event):
        time_s, (kind, target) = event[0] / 1000, event[1:3]
        if kind == "boot":
            self.runs = {run: cpu for run, cpu in self.runs.items() if run[0] != target}
            self.capacity[target] = event[4]
        elif kind == "capacity":
            self.capacity[target] = event[4]
        elif kind == "accepts":
            (self.refusing.discard if event[4] else self.refusing.add)(target)
        elif kind == "start":
            self.runs[target, event[4], event[5]] = event[6]
            self.first_starts.setdefault(event[4].partition(".")[0], time_s)
        elif kind == "end":
            self.runs.pop((target, event[4], event[5]), None)
        used = sum(cpu for run, cpu in self.runs.items() if run[0] == target)
        free = 0 if target in self.refusing else max(self.capacity[target] - used, 0)
        self.free.setdefault(target, []).append((time_s, free))

    def least_free(self, target, begin, end):
        """Returns the CPU of the target that was free throughout the span."""
        changes = self.free.get(target, [])
        first = bisect.bisect_right(changes, (begin, float("inf")))
        last = bisect.bisect_left(changes, (end, -1))
        return min((free for _, free in changes[first - 1:last]), default=0) if first else 0

    def judge(self, now, accepted, faults):
        """accepted: (job, when it was accepted, CPU of its first task) of each job. now: before the
        last events were read. Returns (job, seconds it waited) of each job found."""
        found = []
        for job, accepted_at, cpu in accepted:
            until = self.first_starts.get(job, now)
            if job in self.judged or until - accepted_at < START_WAIT_S:
                continue
            free = [self.least_free(target, until - START_WAIT_S, until)
                    for target in self.eligible(job)]
            is_overdue = is_start_overdue(accepted_at, until, cpu, free, faults)
            if is_overdue:
                found.append((job, until - accepted_at))
            if is_overdue or job in self.first_starts:
                self.judged.add(job)
        return found
