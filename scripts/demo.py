#!/usr/bin/env python3
"""Starts a cell on loopback and runs requests through it."""
import sys

from cell import Cell, call

cell = Cell(["bogota-a", "bogota-b", "bogota-c"])
try:
    cell.wait_ready()
    ticket = {"number": 1, "teams": [{"name": "citas", "share": 3, "limit": 300}],
              "queues": [{"name": "checks", "team": "citas", "open": True}]}
    status, answer = cell.operate("POST", "/v1/tickets?wait_ms=6000", ticket)
    assert status == 200, answer
    answered = 0
    for i in range(20):
        status, answer = call("POST", cell.hosts[i % 3].url + "/v1/requests",
                              {"id": "check-%d" % i, "queue": "checks"})
        answered += status == 200
    print("demo: requests=20 answered=%d" % answered)
    sys.exit(0 if answered == 20 else 1)
finally:
    cell.stop()
