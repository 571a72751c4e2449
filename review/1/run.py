"""Plays an entry of another writer whose address cannot be read; see claim.txt."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
import rig  # noqa: E402

ZONES = {"wien-a": "ost", "graz-a": "sued", "innsbruck-a": "west"}
TIMEOUT_MS = 1500
LATE_S = 0.5
RESTART_S = 1.0
REQUESTS_S = 20
PERIOD_S = 0.05


class Tally:
    """What the clients have seen."""

    def __init__(self):
        self.sent = self.served = self.refused = self.closed = 0
        self.unanswered_at_timeout = self.unanswered_late = 0


async def client_request(record, instance, tally):
    """Sends one request; waits until half a second after the route's timeout."""
    request = rig.new_id()
    tally.sent += 1
    record(f"send    {request} to {instance.name}")
    try:
        connection = await rig.Connection.open(instance.front)
    except OSError:
        tally.closed += 1
        record(f"refused {request}: no connection")
        return
    asked = asyncio.create_task(connection.ask(
        f"/desk/{request}", request_id=request, deadline_ms=6000, wait_s=30))
    done, _ = await asyncio.wait({asked}, timeout=TIMEOUT_MS / 1000)
    if not done:
        tally.unanswered_at_timeout += 1
        done, _ = await asyncio.wait({asked}, timeout=LATE_S)
    if not done:
        tally.unanswered_late += 1
        record(f"no answer to {request} half a second after the route's timeout")
        asked.cancel()
    else:
        try:
            answer = asked.result()
            tally.served += answer.status == 200
            tally.refused += answer.status != 200
            record(f"answer  {request} status {answer.status}")
        except (OSError, asyncio.IncompleteReadError) as problem:
            tally.closed += 1
            record(f"closed  {request}: {problem!r}")
    connection.close()


async def restart(record, fleet, ends, store):
    """Starts an ended process again after a short delay, as the platform does."""
    while True:
        for instance in fleet.instances:
            status = instance.ended()
            if status is not None:
                record(f"ended   {instance.name} by itself, status {status}")
                ends[instance.name] = ends.get(instance.name, 0) + 1
                await asyncio.sleep(RESTART_S)
                instance.write_settings(store.address, bootstrap=False)
                instance.start()
        await asyncio.sleep(0.05)


async def case(record, has_trouble):
    hosts = rig.Hosts()
    store = await rig.Store(hosts.ip(), record).start()
    await store.put("op/config", rig.config(
        7, [rig.route("r-desk", "/desk/", {"service": "werkstatt"}, timeout_ms=TIMEOUT_MS)],
        ["werkstatt"]))
    for zone in ZONES:
        for _ in range(2):
            backend = await rig.Backend(store, record, "werkstatt", zone, hosts.ip(),
                                        slots=6, work_s=0.09).start()
            await backend.register()
    fleet = rig.Fleet(record, ZONES)
    for zone in ZONES:
        fleet.add(f"front-{zone}-1", zone, hosts.ip())
    tally, ends, tasks = Tally(), {}, []
    try:
        await fleet.start(store.address)
        tasks.append(asyncio.create_task(restart(record, fleet, ends, store)))
        if has_trouble:
            await store.put("servers/i-0f5c21aa", {
                "service": "werkstatt", "address": "[::1]:8080", "zone": "wien-a",
                "version": "v1", "maxConcurrency": 6, "state": "ready", "coldMs": 0,
                "sequence": 1, "born": 1700000000000})
        await asyncio.sleep(6)
        clients = []
        for turn in range(int(REQUESTS_S / PERIOD_S)):
            instance = fleet.instances[turn % len(fleet.instances)]
            clients.append(asyncio.create_task(client_request(record, instance, tally)))
            await asyncio.sleep(PERIOD_S)
        await asyncio.gather(*clients)
    finally:
        for task in tasks:
            task.cancel()
        fleet.stop(keep_logs="KEEP_LOGS" in os.environ)
    record(f"seen: {vars(tally)}, processes that ended by themselves: {ends}")
    print(vars(tally), ends)
    if sum(count >= 3 for count in ends.values()) >= 2:
        return f"processes ended by themselves: {ends}"
    if (tally.unanswered_at_timeout >= 8
            and tally.unanswered_late * 2 > tally.unanswered_at_timeout):
        return (f"of {tally.unanswered_at_timeout} requests unanswered at the route's "
                f"timeout, {tally.unanswered_late} had no answer half a second later")
    return None


rig.play(case, FOLDER)
