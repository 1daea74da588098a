"""Stand-in for the platform's store, after PROTOCOL.md, "The platform's metadata store".

Keeps rows in tables, with the limits that the page states: 100 entries and 1 MB a call, keys of 200
bytes, values of at most rowBytes, 500 rows or 1 MB a page, writesPerS and readsPerS for all hosts
together (429 beyond), txMs for each transaction of a part, one after the other, and some
milliseconds for each answer. The operator and the workers write through PUT and DELETE
/operator/TABLE/KEY, which is not limited. GET /counters tells what was refused.
"""
import asyncio
import base64
import bisect
import json
import sys
import time
import urllib.parse

from wire import serve

ROW_BYTES = 65536
ENTRIES_MAX, CALL_BYTES_MAX, NAME_BYTES_MAX = 100, 1 << 20, 200
PAGE_ROWS, PAGE_BYTES = 500, 1 << 20
WRITES_PER_S, READS_PER_S = 800, 2000
ANSWER_S, TX_S = 0.004, 0.003


class Store:
    def __init__(self):
        self.version = 0
        self.rows = {}  # (table, part) -> {key: row}
        self.keys = {}  # (table, part) -> sorted keys
        self.changes = {}  # table -> list of (version, row)
        self.waiters = {}  # table -> set of futures
        self.part_free = {}  # part -> time at which its last transaction ends
        self.used = {"writes": [0, 0], "reads": [0, 0]}  # [second, calls in it]
        self.refused = {}  # reason -> count
        self.longest_refused = 0  # bytes of the longest value that was refused

    def refuse(self, reason):
        self.refused[reason] = self.refused.get(reason, 0) + 1

    def admit(self, what, per_s):
        second, used = int(time.monotonic()), self.used[what]
        if used[0] != second:
            used[0], used[1] = second, 0
        used[1] += 1
        if used[1] > per_s:
            self.refuse("rate of " + what)
        return used[1] <= per_s

    def find(self, table, part, key):
        return self.rows.get((table, part), {}).get(key)

    def put(self, table, part, key, value):
        """Sets a row at the present version, or removes it where value is None."""
        rows, keys = self.rows.setdefault((table, part), {}), self.keys.setdefault((table, part), [])
        row = {"table": table, "part": part, "key": key, "ver": self.version}
        if value is None:
            if rows.pop(key, None) is not None:
                keys.pop(bisect.bisect_left(keys, key))
            row["tombstone"] = True
        else:
            row["value"] = value
            if key not in rows:
                bisect.insort(keys, key)
            rows[key] = row
        self.changes.setdefault(table, []).append((self.version, row))

    def notify(self, tables):
        for table in tables:
            for future in self.waiters.pop(table, ()):
                if not future.done():
                    future.set_result(None)

    def head(self):
        return {"ver": self.version, "nowMs": int(time.monotonic() * 1000)}

    # --- transactions ---

    def check(self, entries, body):
        """Returns the status of a call that breaks a limit, else 0."""
        if len(entries) > ENTRIES_MAX or len(body) > CALL_BYTES_MAX:
            self.refuse("size of a call")
            return 400
        for entry in entries:
            if any(len(entry.get(name, "").encode()) > NAME_BYTES_MAX
                   for name in ("table", "part", "key")):
                self.refuse("length of a key")
                return 400
            text = entry.get("value")
            size = len(text) * 3 // 4 - text.count("=", -2) if text else 0
            if size > ROW_BYTES:
                self.refuse("value longer than rowBytes")
                self.longest_refused = max(self.longest_refused, size)
                return 400
        return 0

    def transact(self, body):
        call = json.loads(body)
        expect, put, remove = call.get("expect", []), call.get("setKeys", []), call.get("remove", [])
        status = self.check(expect + put + remove, body)
        if status:
            return status, self.head()
        if any(entry["table"] in ("op", "servers") for entry in put + remove):
            return 403, self.head()
        current = [self.find(e["table"], e.get("part", ""), e["key"]) for e in expect]
        if any((row["ver"] if row else 0) != e["ver"] for row, e in zip(current, expect)):
            return 412, dict(self.head(), rows=[row for row in current if row])
        self.version += 1
        for entry in put:
            self.put(entry["table"], entry.get("part", ""), entry["key"], entry["value"])
        for entry in remove:
            self.put(entry["table"], entry.get("part", ""), entry["key"], None)
        self.notify({entry["table"] for entry in put + remove})
        return 200, self.head()

    async def rows_tx(self, body):
        if not self.admit("writes", WRITES_PER_S):
            return 429, {}
        try:
            entries = json.loads(body)
            part = (entries.get("expect") or entries.get("setKeys") or [{}])[0].get("part", "")
        except ValueError:
            return 400, {}
        now = time.monotonic()
        free = max(self.part_free.get(part, now), now) + TX_S
        if free - now > 1.0:
            self.refuse("transactions of a part")
            return 429, {}
        self.part_free[part] = free
        await asyncio.sleep(free - now)
        status, reply = self.transact(body)
        await asyncio.sleep(ANSWER_S)
        return status, reply

    # --- reads ---

    async def rows_get(self, query):
        if not self.admit("reads", READS_PER_S):
            return 429, {}
        space = (query.get("table", ""), query.get("part", ""))
        rows, keys = self.rows.get(space, {}), self.keys.get(space, [])
        i = bisect.bisect_left(keys, query.get("from", ""))
        end = bisect.bisect_left(keys, query["to"]) if query.get("to") else len(keys)
        limit, page, size = int(query.get("limit", PAGE_ROWS)), [], 0
        while i < end and len(page) < min(limit, PAGE_ROWS) and size < PAGE_BYTES:
            page.append(rows[keys[i]])
            size += len(rows[keys[i]].get("value", "")) + 100
            i += 1
        reply = dict(self.head(), rows=page, hasMore=i < end)
        await asyncio.sleep(ANSWER_S)
        return 200, reply

    async def rows_feed(self, query):
        if not self.admit("reads", READS_PER_S):
            return 429, {}
        table, after = query.get("table", ""), int(query.get("after", 0))
        until = time.monotonic() + min(int(query.get("waitMs", 0)), 30000) / 1000

        def changed():
            changes = self.changes.get(table, [])
            first = bisect.bisect_right(changes, after, key=lambda change: change[0])
            return [row for _, row in changes[first:]]
        rows = changed()
        while not rows and time.monotonic() < until:
            future = asyncio.get_running_loop().create_future()
            self.waiters.setdefault(table, set()).add(future)
            try:
                await asyncio.wait_for(future, until - time.monotonic())
            except asyncio.TimeoutError:
                self.waiters.get(table, set()).discard(future)
            rows = changed()
        reply = dict(self.head(), rows=rows)
        await asyncio.sleep(ANSWER_S)
        return 200, reply

    # --- others ---

    def operator(self, method, path, body):
        _, _, table, key = path.split("/", 3)
        self.version += 1
        self.put(table, "", key, None if method == "DELETE" else base64.b64encode(body).decode())
        self.notify({table})
        return 200, self.head()

    async def handle(self, method, target, headers, body):
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        if path == "/rows-tx":
            return await self.rows_tx(body)
        if path == "/rows-get":
            return await self.rows_get(query)
        if path == "/rows-feed":
            return await self.rows_feed(query)
        if path.startswith("/operator/"):
            return self.operator(method, path, body)
        if path == "/counters":
            return 200, {"refused": self.refused, "longest_refused": self.longest_refused,
                         "version": self.version}
        return 404, {}


async def main(address, port):
    await serve(address, port, Store().handle)
    print("ready", flush=True)
    await asyncio.Event().wait()

if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2])))
