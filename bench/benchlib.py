"""What the bench scripts share: fleets of real processes on loopback, load runs and tables.

Everything is bounded, talks to loopback only, and stops only processes that it started.
"""
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Other binaries than those of build/ can be measured by naming their folder
BIN = pathlib.Path(os.environ.get("JACKDAWRACK_BIN", ROOT / "build" / "bin"))
KEY_SPACE_END = 1 << 32
BASE_PORT = 26000
READY_TIMEOUT_S = 20
STOP_TIMEOUT_S = 10
CALL_TIMEOUT_S = 5
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def http(method, address, path, body=None, timeout=CALL_TIMEOUT_S):
    """One HTTP call; the status and the body, or (0, reason)."""
    data = body.encode() if body is not None else None
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, reply.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except (urllib.error.URLError, OSError) as error:
        return 0, str(error)


def cpu_seconds(pid):
    """User and system time of a process so far."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def load_average():
    return os.getloadavg()[0]


class Upstream:
    """One upstream stand-in, as the map names it."""

    def __init__(self, name, address, domain):
        self.name = name
        self.address = address
        self.domain = domain

    def set(self, **values):
        """Steers the stand-in."""
        http("POST", self.address, "/control/set", json.dumps(values))

    def counts(self):
        status, body = http("GET", self.address, "/control/counts")
        return json.loads(body) if status == 200 else {}


class Collection:
    """One collection of a bench fleet: `shards` shards of `replicas` replicas each."""

    def __init__(self, name, shards, replicas, slots, connections, connect_cost_ms, shards_per_block=2):
        self.name = name
        self.shards = shards
        self.replicas = replicas
        self.slots = slots
        self.connections = connections
        self.connect_cost_ms = connect_cost_ms
        self.shards_per_block = shards_per_block
        self.index_version = 7
        self.revision = 1
        self.upstreams = []

    def text(self, domains, first_port):
        """The map's INI text; fills `upstreams` on the way."""
        self.upstreams = []
        head = (f"[collection]\nname = {self.name}\nrevision = {self.revision}\n"
                f"index_version = {self.index_version}\nprevious_index_version = {self.index_version - 1}\n"
                f"shards_per_block = {self.shards_per_block}\n")
        shards = ""
        port = first_port
        for shard in range(self.shards):
            names = []
            for replica in range(self.replicas):
                domain = domains[(shard + replica) % len(domains)]
                name = f"{self.name}-{shard + 1}-{replica + 1}"
                names.append(name)
                address = f"127.0.0.1:{port}"
                self.upstreams.append(Upstream(name, address, domain))
                head += (f"\n[upstream {name}]\naddress = {address}\nfailure_domain = {domain}\n"
                         f"slots = {self.slots}\nconnections = {self.connections}\n"
                         f"connect_cost_ms = {self.connect_cost_ms}\n")
                port += 1
            begin = shard * KEY_SPACE_END // self.shards
            end = (shard + 1) * KEY_SPACE_END // self.shards
            shards += f"\n[shard {self.name}-{shard + 1}]\nbegin = {begin}\nend = {end}\n"
            shards += f"replicas = {' '.join(names)}\n"
        return head + shards


class Process:
    """One process that the bench started."""

    def __init__(self, arguments, log):
        self.log = open(log, "ab")
        self.child = subprocess.Popen(arguments, stdout=self.log, stderr=self.log)

    @property
    def pid(self):
        return self.child.pid

    def signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def stop(self):
        """Stops it, by force if it does not end in time."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            self.child.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
        self.log.close()


class Instance:
    """One instance of the daemon and its addresses."""

    def __init__(self, name, domain, base):
        self.name = name
        self.domain = domain
        self.callers = f"127.0.0.1:{base}"
        self.peers = f"127.0.0.1:{base + 1}"
        self.operators = f"127.0.0.1:{base + 2}"
        self.process = None


class Fleet:
    """A platform stand-in, upstream stand-ins and instances; a context manager."""

    def __init__(self, domains, instances_per_domain, collections, contract, *, customer="bench",
                 service_ms=2, extra_settings="", extra_instances=(), alone=(), worker_threads=2):
        self.domains = domains
        self.collections = collections
        self.contract = contract
        self.customer = customer
        self.service_ms = service_ms
        self.extra_settings = extra_settings
        # Upstreams that get a process of their own, so that they can be killed or paused
        self.alone = set(alone)
        self.worker_threads = worker_threads
        self.folder = tempfile.TemporaryDirectory(prefix="jackdawrack-bench-")
        self.root = pathlib.Path(self.folder.name)
        self.platform_address = f"127.0.0.1:{BASE_PORT}"
        self.instances = []
        base = BASE_PORT + 10
        members = [(f"{domain}-{number + 1}", domain)
                   for number in range(instances_per_domain) for domain in domains]
        for name, domain in members + list(extra_instances):
            self.instances.append(Instance(name, domain, base))
            base += 3
        self.processes = []
        self.upstream_processes = {}

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, *_):
        for process in reversed(self.processes):
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in reversed(self.processes):
            process.stop()
        self.folder.cleanup()

    def _spawn(self, name, arguments):
        process = Process([str(argument) for argument in arguments], self.root / f"{name}.log")
        self.processes.append(process)
        return process

    def _start(self):
        values = self.root / "values"
        (values / "contracts").mkdir(parents=True)
        (values / "map").mkdir()
        (values / "contracts" / f"{self.customer}.ini").write_text(self.contract_text(1))
        port = BASE_PORT + 500
        maps = []
        for collection in self.collections:
            path = values / "map" / f"{collection.name}.ini"
            path.write_text(collection.text(self.domains, port))
            maps += ["--map", path]
            port += len(collection.upstreams)
        (values / "instances.ini").write_text(self.instances_text())
        self._spawn("platform", [BIN / "standin_platform", "--listen", self.platform_address,
                                 "--values", values])
        for domain in self.domains:
            arguments = [BIN / "standin_upstreams", *maps, "--service-ms", self.service_ms, "--domain", domain]
            for name in sorted(self.alone):
                arguments += ["--except", name]
            self._spawn(f"upstreams-{domain}", arguments)
        for name in sorted(self.alone):
            self.start_upstream(name, maps)
        for instance in self.instances:
            self.start_instance(instance)
        for instance in self.instances:
            self.wait_ready(instance)

    def start_upstream(self, name, maps=None):
        """Starts an upstream that has a process of its own."""
        if maps is None:
            maps = []
            for collection in self.collections:
                maps += ["--map", self.root / "values" / "map" / f"{collection.name}.ini"]
        self.upstream_processes[name] = self._spawn(
            f"upstream-{name}",
            [BIN / "standin_upstreams", *maps, "--service-ms", self.service_ms, "--only", name])

    def start_instance(self, instance):
        path = self.root / f"{instance.name}.ini"
        path.write_text(
            f"[instance]\nid = {instance.name}\nfailure_domain = {instance.domain}\n"
            f"worker_threads = {self.worker_threads}\n\n"
            f"[listen]\ncallers = {instance.callers}\npeers = {instance.peers}\n"
            f"operators = {instance.operators}\n\n[platform]\naddresses = {self.platform_address}\n\n"
            f"[stop]\nbalancer_lag_ms = 0\n\n{self.extra_settings}")
        instance.process = self._spawn(instance.name, [BIN / "jackdawrackd", "--settings", path])

    def wait_ready(self, instance):
        give_up = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up:
            if http("GET", instance.operators, "/readyz")[0] == 200:
                return
            time.sleep(0.05)
        log = (self.root / f"{instance.name}.log").read_text()
        raise RuntimeError(f"{instance.name} is not ready:\n{log}")

    def contract_text(self, version):
        return f"[contract]\ncustomer = {self.customer}\nversion = {version}\n\n{self.contract}"

    def instances_text(self):
        return "".join(f"[instance {i.name}]\nfailure_domain = {i.domain}\npeers = {i.peers}\nstate = live\n\n"
                       for i in self.instances)

    def publish(self, name, text):
        http("PUT", self.platform_address, f"/v1/values/{name}", text)

    def publish_map(self, collection):
        """Publishes a collection again, under its next revision."""
        collection.revision += 1
        port = int(collection.upstreams[0].address.split(":")[1])
        self.publish(f"map/{collection.name}", collection.text(self.domains, port))

    def upstream(self, name):
        return next(u for c in self.collections for u in c.upstreams if u.name == name)

    def counts(self):
        """The counts of every upstream that answers."""
        return [u.counts() for c in self.collections for u in c.upstreams]

    def load(self, arguments, instances=None):
        """Starts a load run; `finish_load` gives its result."""
        targets = []
        for instance in instances or self.instances:
            targets += ["--at", instance.callers]
        return subprocess.Popen(
            [str(BIN / "jackdawrack"), "load", *targets, "--customer", self.customer, "--json",
             *[str(argument) for argument in arguments]],
            stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)


def finish_load(child, timeout_s=120):
    """The JSON result of a load run."""
    try:
        out, error = child.communicate(timeout=timeout_s)
    except subprocess.TimeoutExpired:
        child.kill()
        child.communicate()
        raise
    if not out:
        raise RuntimeError(f"load run failed: {error}")
    return json.loads(out)


def total_row(result):
    """The row of all kinds together."""
    return result["rows"][-1]


def markdown(heading, rows):
    """A Markdown table."""
    lines = ["| " + " | ".join(heading) + " |", "|" + "---|" * len(heading)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(lines) + "\n"


def median(values):
    ordered = sorted(values)
    middle = len(ordered) // 2
    return ordered[middle] if len(ordered) % 2 else (ordered[middle - 1] + ordered[middle]) / 2


def spread(values, digits=1):
    """min / median / max."""
    return " / ".join(f"{value:.{digits}f}" for value in (min(values), median(values), max(values)))
