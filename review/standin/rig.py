"""Stand-ins for the platform's store, the backends and the clients, and a
starter for instances of the system, all on loopback addresses.

The stand-ins follow PROTOCOL.md and DEPLOY.md. The system itself is started as
separate processes with the command and the template of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

# The bounds of the site file sites/blendenrack.toml, as settings show them.
BOUNDS = {
    "stableMs": 5000,
    "drainMs": 3000,
    "graceS": 6,
    "configApplyMs": 3000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 58,
}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 262144,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
STORE_ANSWER_S = 0.004
HISTORY_S = 20.0
PAGE_ITEMS = 500


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to a file, with the time."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Hosts:
    """Hands out loopback addresses and ports that are free."""

    def __init__(self):
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.next_host = 1

    def ip(self):
        self.next_host += 1
        return f"{self.net}.{self.next_host}"

    @staticmethod
    def port(ip):
        with socket.socket() as probe:
            probe.bind((ip, 0))
            return probe.getsockname()[1]


async def read_head(reader):
    """Returns the first line and the fields of a message; names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, until_end=False):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_end else b""


def message(status, fields, body=b""):
    head = f"HTTP/1.1 {status}\r\n"
    for name, value in fields.items():
        head += f"{name}: {value}\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self, ip, port=0):
        self.ip = ip
        self.port = port or Hosts.port(ip)
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, backlog=512)
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, fields)
                answer = await self.answer(method, target, fields, body)
                if answer is None:
                    writer.transport.abort()
                    return
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, fields, body):
        raise NotImplementedError

    def stop(self):
        """Ends as a killed process does: all its connections end."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(HttpServer):
    """The platform's metadata store, read side."""

    def __init__(self, ip, record):
        super().__init__(ip)
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.forgotten = self.revision
        self.changed = asyncio.Condition()

    async def put(self, key, value):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["createdRevision"] if key in self.items else self.revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createdRevision": created,
            "leaseId": 0,
        }
        await self.note(dict(self.items[key]))
        self.record(f"store acknowledges {key} revision {self.revision} {value[:300]!r}")
        return self.record.now()

    async def remove(self, key):
        self.items.pop(key, None)
        self.revision += 1
        await self.note({"key": key, "revision": self.revision, "removed": True})
        self.record(f"store acknowledges the removal of {key} revision {self.revision}")
        return self.record.now()

    async def note(self, event):
        self.history.append((time.monotonic(), event, json.dumps(event)))
        async with self.changed:
            self.changed.notify_all()

    async def answer(self, method, target, fields, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        await asyncio.sleep(STORE_ANSWER_S)
        if url.path == "/v1/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return self.json("404 Not Found", {})
            return self.json("200 OK", dict(item, asOf=self.revision))
        if url.path == "/v1/kv-range":
            return self.json("200 OK", self.page(query))
        if url.path == "/v1/kv-watch":
            return await self.watch(query)
        return self.json("404 Not Found", {})

    def page(self, query):
        keys = sorted(key for key in self.items
                      if key.startswith(query.get("prefix", ""))
                      and key > query.get("after", ""))
        return {"items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                "hasMore": len(keys) > PAGE_ITEMS, "asOf": self.revision}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        wait_s = min(int(query.get("waitMs", 0)), 30000) / 1000
        end = time.monotonic() + wait_s
        while True:
            self.forget()
            if after < self.forgotten:
                return self.json("410 Gone", {})
            events = [text for _, event, text in self.history
                      if event["revision"] > after and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                body = f'{{"events":[{",".join(events)}],"asOf":{self.revision}}}'
                return message("200 OK", {"Content-Type": "application/json"}, body.encode())
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass

    def forget(self):
        """Drops the history that is older than the platform keeps."""
        while self.history and time.monotonic() - self.history[0][0] > HISTORY_S:
            self.forgotten = self.history.pop(0)[1]["revision"]

    @staticmethod
    def json(status, value):
        return message(status, {"Content-Type": "application/json"},
                       json.dumps(value).encode())


class Backend(HttpServer):
    """A sound backend of one service."""

    def __init__(self, store, record, service, zone, ip, slots=2, work_s=0.02):
        super().__init__(ip)
        self.store, self.record = store, record
        self.service, self.zone, self.slots, self.work_s = service, zone, slots, work_s
        self.id = f"i-{random.getrandbits(32):08x}"
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.free = asyncio.Semaphore(slots)
        self.runs = []
        self.bodies = {}

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1",
                "maxConcurrency": self.slots, "state": self.state, "coldMs": 0,
                "sequence": self.sequence, "born": self.born}

    async def register(self):
        return await self.store.put(f"servers/{self.id}", self.entry())

    async def drain(self):
        self.state = "draining"
        return await self.register()

    async def answer(self, method, target, fields, body):
        request = fields.get("x-request-id", "")
        echo = {"X-Request-Id": request, "X-Instance-Id": self.id}
        if target == "/health":
            return message("200 OK", echo)
        if not request:
            return message("400 Bad Request", dict(echo, **{"X-Not-Executed": 1}))
        if fields.get("x-expect-instance", self.id) != self.id:
            return message("421 Misdirected Request", dict(echo, **{"X-Not-Executed": 1}))
        async with self.free:
            return await self.run(method, target, fields, body, echo)

    async def run(self, method, target, fields, body, echo):
        request = echo["X-Request-Id"]
        self.runs.append((self.record.now(), request))
        self.record(f"run     {self.service} {self.id} request {request} {method} {target}")
        await asyncio.sleep(self.work_s)
        stamp = f"{self.id}.{len(self.runs)}.{random.getrandbits(32):08x}"
        answer = b"".join(random.randbytes(16) for _ in range(8))
        self.bodies[request] = answer
        return message("200 OK", dict(echo, **{"X-Server-Stamp": stamp}), answer)


def render(template, values):
    """Fills in a template as DEPLOY.md describes it, as far as ours needs it."""

    def text(value):
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def look_up(name):
        value = values
        for part in name.split("."):
            value = value.get(part, "") if isinstance(value, dict) else ""
        return value

    def section(match):
        value, inner = look_up(match[1]), match[2]
        if isinstance(value, dict):
            return "".join(inner.replace("{{@}}", key).replace("{{.}}", text(item))
                           for key, item in value.items())
        return inner if value else ""

    template = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: text(look_up(match[1])), template)


class Instance:
    """One process of the system, started as the deploy file says."""

    def __init__(self, fleet, name, zone, ip):
        self.fleet, self.name, self.zone, self.ip = fleet, name, zone, ip
        self.process = None
        self.settings_path = os.path.join(fleet.folder, f"{name}.ini")
        self.log_path = os.path.join(fleet.folder, f"{name}.log")

    @property
    def front(self):
        return f"{self.ip}:{self.fleet.ports['front']}"

    @property
    def readiness(self):
        return f"{self.ip}:{self.fleet.ports['readiness']}"

    @property
    def control(self):
        return f"{self.ip}:{self.fleet.ports['control']}"

    def write_settings(self, store_address, bootstrap):
        values = {
            "nodeName": self.name, "zone": self.zone, "ip": self.ip,
            "seeds": self.fleet.seeds, "bootstrap": bootstrap,
            "zones": self.fleet.zones, "bounds": self.fleet.bounds,
            "platform": {"address": store_address},
            "listen": {"front": self.front, "readiness": self.readiness,
                       "control": self.control},
        }
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write(render(self.fleet.template, values))

    def start(self):
        with open(self.log_path, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                self.fleet.command, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"],
                     "JACKDAWRACK_SETTINGS": self.settings_path})
        self.fleet.record(f"start   {self.name} at {self.front}")

    def send(self, sign):
        self.fleet.record(f"signal  {self.name} {signal.Signals(sign).name}")
        self.process.send_signal(sign)

    def ended(self):
        """The exit status, negative for a signal; None while it runs."""
        return self.process.poll()

    async def ready(self):
        try:
            answer = await request(self.readiness, "/v1/ready", wait_s=1)
            return answer.status == 200
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False


class Fleet:
    """The instances of a small deployment."""

    def __init__(self, record, zones, bounds=None):
        deploy = tomllib.load(open(os.path.join(ROOT, "deploy/system.toml"), "rb"))
        role = next(iter(deploy["roles"].values()))
        self.command = [os.path.join(ROOT, role["run"].split()[0])] + role["run"].split()[1:]
        if not os.path.exists(self.command[0]):
            raise CannotRun("the deploy file is not built")
        self.template = open(os.path.join(ROOT, role["template"]), encoding="utf-8").read()
        self.record = record
        self.zones = zones
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.ports = {name: Hosts.port("127.0.0.1")
                      for name in ("front", "readiness", "control")}
        self.seeds = []
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.instances = []

    def add(self, name, zone, ip):
        instance = Instance(self, name, zone, ip)
        self.instances.append(instance)
        self.seeds = [each.control for each in self.instances[:3]]
        return instance

    async def start(self, store_address, bootstrap=True):
        for instance in self.instances:
            instance.write_settings(store_address, bootstrap)
            instance.start()
        for _ in range(100):
            await asyncio.sleep(0.1)
            if all([await instance.ready() for instance in self.instances]):
                return
        raise CannotRun("the instances did not become ready")

    def stop(self, keep_logs=False):
        for instance in self.instances:
            if instance.process is not None and instance.ended() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
        for instance in self.instances:
            if instance.process is not None:
                instance.process.wait()
        if not keep_logs:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status, fields, body):
        self.status, self.fields, self.body = status, fields, body


class Connection:
    """A client's connection, which it may keep for several requests."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @staticmethod
    async def open(address):
        ip, port = address.rsplit(":", 1)
        return Connection(*await asyncio.open_connection(ip, int(port)))

    async def ask(self, path, method="GET", host="lens.example", request_id=None,
                  deadline_ms=2500, body=b"", wait_s=5.0):
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        if request_id is not None:
            head += f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        self.writer.write(head.encode("latin-1") + b"\r\n" + body)
        return await asyncio.wait_for(self.read_answer(), wait_s)

    async def read_answer(self):
        first, fields = await read_head(self.reader)
        return Answer(int(first.split(" ")[1]), fields,
                      await read_body(self.reader, fields))

    def close(self):
        self.writer.close()


async def request(address, path, **options):
    """Sends one request on a connection of its own."""
    connection = await Connection.open(address)
    try:
        return await connection.ask(path, **options)
    finally:
        connection.close()


def new_id():
    return f"{random.getrandbits(64):016x}"


def route(name, prefix, target, kind="safe", timeout_ms=2500, attempts=2, **more):
    return dict({"name": name, "host": "lens.example", "prefix": prefix,
                 "type": kind, "timeoutMs": timeout_ms, "targetLatencyMs": 400,
                 "priority": 1, "maxAttempts": attempts}, **target, **more)


def config(version, routes, services, limits=None):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/health", "maxConnections": 110,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": limits or LIMITS}


def play(case, folder):
    """Runs `case(record, has_trouble)` and exits with 1 if it returns a broken
    rule, 0 if it returns nothing, and 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        try:
            broken = await asyncio.wait_for(case(record, has_trouble), 110)
        except Exception as problem:  # the rig itself failed: no verdict
            finish(record, f"could not run: {problem!r}", 2)
        if broken:
            finish(record, f"rule broken: {broken}", 1)
        finish(record, "the rule held", 0)

    asyncio.run(run())


def finish(record, verdict, status):
    """Ends at once, without waiting for the stand-ins' connections."""
    record(verdict)
    print(verdict, flush=True)
    os._exit(status)
