"""Plays a change of the configuration that raises a limit; see claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
import rig  # noqa: E402

ZONES = {"wien-a": "ost", "graz-a": "sued", "innsbruck-a": "west"}
APPLY_S = rig.BOUNDS["configApplyMs"] / 1000
CLIENTS = 60
BODY = bytes(65536 + 1024)
OLD_LIMIT, NEW_LIMIT = 65536, 262144


class Tally:
    sent = served = denied = 0


async def ask(record, client, tally, body):
    """One request on the client's kept connection; a new one if it was closed."""
    request = rig.new_id()
    if client["connection"] is None:
        client["connection"] = await rig.Connection.open(client["front"])
    record(f"send    {request} POST {len(body)} bytes")
    answer = await client["connection"].ask(f"/desk/{request}", "POST",
                                            request_id=request, body=body)
    record(f"answer  {request} status {answer.status}")
    tally.sent += 1
    tally.served += answer.status == 200
    tally.denied += 300 <= answer.status < 500 and answer.status not in (408, 421, 429)
    if answer.fields.get("connection", "").lower() == "close":
        client["connection"].close()
        client["connection"] = None


async def case(record, has_trouble):
    hosts = rig.Hosts()
    store = await rig.Store(hosts.ip(), record).start()

    def version(number, max_body):
        return rig.config(number, [rig.route("r-desk", "/desk/", {"service": "werkstatt"})],
                          ["werkstatt"], dict(rig.LIMITS, maxBodyBytes=max_body))

    await store.put("op/config", version(7, OLD_LIMIT if has_trouble else NEW_LIMIT))
    for zone in ZONES:
        for _ in range(2):
            backend = await rig.Backend(store, record, "werkstatt", zone, hosts.ip(),
                                        slots=6, work_s=0.005).start()
            await backend.register()
    fleet = rig.Fleet(record, ZONES)
    for zone in ZONES:
        fleet.add(f"front-{zone}-1", zone, hosts.ip())
    tally = Tally()
    try:
        await fleet.start(store.address)
        await asyncio.sleep(6)
        clients = [{"front": fleet.instances[index % 3].front, "connection": None}
                   for index in range(CLIENTS)]
        for client in clients:  # small requests, within the limit of version 7
            await ask(record, client, tally, b"a small body")
        if has_trouble:
            await store.put("op/config", version(9, NEW_LIMIT))
        await asyncio.sleep(APPLY_S + 2)
        for _ in range(3):  # within the limit of version 9
            for client in clients:
                await ask(record, client, tally, BODY)
    finally:
        fleet.stop(keep_logs="KEEP_LOGS" in os.environ)
    allowed = 5 + tally.sent / 500
    record(f"seen: {tally.sent} sent, {tally.served} served, {tally.denied} denied; "
           f"{allowed:.1f} may be")
    if tally.denied > allowed:
        return f"{tally.denied} of {tally.sent} proper requests were denied"
    return None


rig.play(case, FOLDER)
