#!/usr/bin/env python3
"""Writes the INI files of the two example deployments, with the sizes of their owners."""
import pathlib

KEY_SPACE_END = 1 << 32
HERE = pathlib.Path(__file__).parent


class Collection:
    """One collection: its shards, replicas, slots and connections."""

    def __init__(self, name, shards, replicas, slots, connections, connect_cost_ms):
        self.name = name
        self.shards = shards
        self.replicas = replicas
        self.slots = slots
        self.connections = connections
        self.connect_cost_ms = connect_cost_ms


class Deployment:
    """One deployment: its failure domains, instances, collections and contract."""

    def __init__(self, name, customer, domains, instances, base_port, collections, contract):
        self.name = name
        self.customer = customer
        self.domains = domains
        self.instances = instances
        self.base_port = base_port
        self.collections = collections
        self.contract = contract


COOP = Deployment(
    "coop", "alpenblick", ["east", "south", "west"], 9, 21000,
    [Collection("portal", 10, 3, 2, 25, 6), Collection("billing", 15, 3, 2, 25, 6),
     Collection("repair", 1, 5, 6, 110, 1), Collection("stock", 1, 3, 6, 110, 1)],
    """[limits]
deadline_ms = 300
rate_per_second = 500
concurrency = 200

[query]
minimum_coverage = 0.9
hedge_share = 0.04
retry_share = 0.05

[kind availability]
collection = portal
idempotent = yes

[kind history]
collection = repair
idempotent = yes

[kind booking]
collection = billing
idempotent = no
""")

REGISTRY = Deployment(
    "registry", "tuhono", ["auckland", "wellington", "christchurch"], 8, 24000,
    [Collection("search", 10, 3, 3, 30, 6), Collection("lodgement", 15, 3, 3, 30, 6),
     Collection("deeds", 1, 7, 6, 50, 1), Collection("revocation", 1, 3, 6, 50, 1)],
    """[limits]
deadline_ms = 800
rate_per_second = 300
concurrency = 100

[query]
minimum_coverage = 1
hedge_share = 0.05
retry_share = 0.05

[kind donor-check]
collection = search
idempotent = yes

[kind revocation-check]
collection = revocation
idempotent = yes

[kind notice]
collection = lodgement
idempotent = no
""")


def write(path, text):
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text)


def write_map(deployment, collection, first_port):
    text = f"[collection]\nname = {collection.name}\nrevision = 1\nindex_version = 7\n"
    text += "previous_index_version = 6\nshards_per_block = 2\n"
    shards = ""
    port = first_port
    for shard in range(collection.shards):
        names = []
        for replica in range(collection.replicas):
            # The first replica's domain turns, so that homes are spread over the domains.
            domain = deployment.domains[(shard + replica) % len(deployment.domains)]
            name = f"{collection.name}-{shard + 1}-{replica + 1}"
            names.append(name)
            text += f"\n[upstream {name}]\naddress = 127.0.0.1:{port}\nfailure_domain = {domain}\n"
            text += f"slots = {collection.slots}\nconnections = {collection.connections}\n"
            text += f"connect_cost_ms = {collection.connect_cost_ms}\n"
            port += 1
        begin = shard * KEY_SPACE_END // collection.shards
        end = (shard + 1) * KEY_SPACE_END // collection.shards
        shards += f"\n[shard {collection.name}-{shard + 1}]\nbegin = {begin}\nend = {end}\n"
        shards += f"replicas = {' '.join(names)}\n"
    write(HERE / deployment.name / "platform" / "map" / f"{collection.name}.ini", text + shards)
    return port


def write_deployment(deployment):
    root = HERE / deployment.name
    platform_port = deployment.base_port
    listing = ""
    for number in range(deployment.instances):
        domain = deployment.domains[number % len(deployment.domains)]
        name = f"{domain}-{number // len(deployment.domains) + 1}"
        base = deployment.base_port + 100 + number
        write(root / "instances" / f"{name}.ini",
              f"[instance]\nid = {name}\nfailure_domain = {domain}\nworker_threads = 2\n\n"
              f"[listen]\ncallers = 127.0.0.1:{base}\npeers = 127.0.0.1:{base + 100}\n"
              f"operators = 127.0.0.1:{base + 200}\n\n"
              f"[platform]\naddresses = 127.0.0.1:{platform_port}\n\n[stop]\nbalancer_lag_ms = 500\n")
        listing += f"[instance {name}]\nfailure_domain = {domain}\npeers = 127.0.0.1:{base + 100}\nstate = live\n\n"
    write(root / "platform" / "instances.ini", listing)
    write(root / "platform" / "contracts" / f"{deployment.customer}.ini",
          f"[contract]\ncustomer = {deployment.customer}\nversion = 1\n\n{deployment.contract}")
    port = deployment.base_port + 1000
    for collection in deployment.collections:
        port = write_map(deployment, collection, port)


for each in (COOP, REGISTRY):
    write_deployment(each)
