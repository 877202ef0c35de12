"""An instance that the store turns away joins streams from two builds."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from stand import Answer, Server, Store, StoreProxy, call, run_case  # noqa: E402

ZONES = {"bern-nord": "bern-mittel", "freiburg-sud": "freiburg", "seeland-ost": "seeland"}
NODES = [f"front-bern-nord-{n}" for n in (1, 2, 3)]
FIRST, CUT, OTHER = NODES
HOST = "klubs.example"
EVENTS = 60
STREAMS = 16
# The store turns the node away for 9 s, as in the site files. Its heartbeat lapses meanwhile.
CUT_S = 9
LAPSED_S = 4.5


def config():
    return {
        "version": 10,
        "routes": [
            {"name": "r-rules", "host": HOST, "path_prefix": "/regeln/", "kind": "stream",
             "timeout_ms": 5000, "goal_ms": 300, "gap_aim_ms": 400, "priority": 0,
             "max_attempts": 2, "resumable": True, "service": "platzbot"}],
        "services": [{"name": "platzbot", "health_path": "/health", "max_conns": 300}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def events_of(answer):
    """Returns the number and the build of each complete event."""
    events = []
    for block in answer.body.decode().split("\n\n")[:-1]:
        data = block.split("data: ")[1].split(" ")
        events.append((int(data[1]), data[2]))
    return events


async def ask(fleet, node, number, attempt, after=None):
    answer = Answer()
    headers = {"Host": HOST, "Redwingtack-Request-Id": f"a{attempt}-{number}",
               "Redwingtack-Deadline-Ms": "5000"}
    if after is not None:
        headers["Last-Event-Id"] = str(after)
    await call(fleet.nodes[node]["ip"], "POST", f"/regeln/{number}", headers,
               f"question {number}".encode(), answer=answer)
    return answer


async def case(fleet, record, trouble):
    store = Store()
    await store.start()
    zone = "bern-nord"
    servers = [Server(f"i-old-{n}", service="platzbot", slots=8, events=EVENTS,
                      interval_s=0.05, zone=zone) for n in range(2)]
    for server in servers:
        await server.start(store)
    await store.put("op", "config", config())
    proxies = {}
    for name in NODES:
        proxies[name] = StoreProxy(store)
        await proxies[name].start()
        await fleet.start_node(name, proxies[name], zone, ZONES)
    for name in NODES:
        await fleet.wait_until_ready(name)
    await asyncio.sleep(5)

    if trouble:
        record(f"the store is silent for {CUT} only")
        proxies[CUT].is_cut = True
    await asyncio.sleep(LAPSED_S)
    newer = [Server(f"i-new-{n}", service="platzbot", version="v2", slots=8, events=EVENTS,
                    interval_s=0.05, zone=zone) for n in range(2)]
    for server in newer:
        await server.start(store)
    record("two servers of build v2 register beside the two of build v1")
    await asyncio.sleep(0.3)
    streams = [asyncio.ensure_future(ask(fleet, FIRST, n, 1)) for n in range(STREAMS)]
    await asyncio.sleep(0.6)
    for name in (FIRST, OTHER):
        fleet.send_signal(name, signal.SIGKILL)
    answers = await asyncio.gather(*streams)
    for name in (FIRST, OTHER):
        await fleet.nodes[name]["process"].wait()
        await fleet.start_node(name, proxies[name], zone, ZONES)
    # The clients come back after a second, at the node that is in rotation.
    await asyncio.sleep(1)
    begun = {}
    for number, first in enumerate(answers):
        events = events_of(first)
        if events and not first.is_complete:
            begun[number] = events
    taken_up = await asyncio.gather(
        *(ask(fleet, CUT, number, 2, events[-1][0]) for number, events in begun.items()))

    joined = 0
    for (number, events), second in zip(begun.items(), taken_up):
        rest = events_of(second) if second.status == 200 else []
        record(f"stream {number}: events {events[:1]} to {events[-1:]} at {FIRST}, taken up at "
               f"{CUT}: {second.status}, events {rest[:1]} to {rest[-1:]}")
        joined += len({build for _, build in events + rest}) > 1
    record(f"{joined} of {len(begun)} streams are joined from two builds")
    proxies[CUT].is_cut = False
    return joined > 0


run_case(HERE, case)
