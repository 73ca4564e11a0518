"""A small deployment on loopback for the cases of the second review. The
platform's store, upstreams and clients are stand-ins in this process; entry
hosts are processes of their own, started with the command of the deploy file.
Without a case's own changes, the stand-ins are sound."""

import asyncio
import base64
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HEARTBEAT_S = 1.5
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000,
          "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
          "loss_slack_ms": 200, "config_apply_ms": 2000,
          "rollback_slack_ms": 250, "max_skew_ms": 5000, "budget_ratio": 0.2,
          "budget_window_s": 10, "budget_slack": 58, "recovery_s": 15,
          "ttl_max_s": 5, "probes_per_s": 60}


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


def free_ports(count, address="127.0.0.1"):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((address, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


async def read_head(reader):
    """First line and headers (names in lower case, a list of pairs)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    pairs = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            pairs.append((name.strip().lower(), value.strip()))
    return lines[0], pairs


def find(pairs, name, default=None):
    for key, value in pairs:
        if key == name:
            return value
    return default


async def read_body(reader, pairs):
    if (find(pairs, "transfer-encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                return body
            body += (await reader.readexactly(size + 2))[:size]
    return await reader.readexactly(int(find(pairs, "content-length", "0")))


class Store:
    """The platform's metadata store: linearizable, without any trouble."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.server = None
        self.port = 0

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "rev": self.revision,
                "created": old["created"] if old else self.revision,
                "lease": lease}
        self.items[key] = item
        self.notify(item)

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.notify({"key": key, "rev": self.revision, "removed": True})

    def notify(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        for lease, (end, _) in list(self.leases.items()):
            if time.monotonic() >= end:
                del self.leases[lease]
                for key, item in list(self.items.items()):
                    if item["lease"] == lease:
                        self.remove(key)

    async def open_door(self):
        """A listener of its own, to turn one host away from the store."""
        door = {"mode": "open", "writers": set()}
        door["server"] = await asyncio.start_server(
            lambda reader, writer: self.serve(reader, writer, door),
            "127.0.0.1", 0)
        door["port"] = door["server"].sockets[0].getsockname()[1]
        return door

    async def serve(self, reader, writer, door=None):
        if door:
            door["writers"].add(writer)
        try:
            while True:
                line, pairs = await read_head(reader)
                body = await read_body(reader, pairs)
                method, target, _ = line.split()
                mode = door["mode"] if door else "open"
                if mode == "silent":
                    await asyncio.sleep(3600)
                if mode == "reset":
                    writer.transport.abort()
                    return
                if mode == "busy":
                    status, answer = 503, {}
                else:
                    status, answer = await self.handle(method, target, body)
                if door and door["mode"] == "silent":
                    await asyncio.sleep(3600)
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: "
                             "application/json\r\nContent-Length: "
                             f"{len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        self.expire()
        path, _, query = target.partition("?")
        words = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/api/kv-key":
            item = self.items.get(words["key"])
            if not item:
                return 404, {"as_of": self.revision}
            return 200, dict(item, as_of=self.revision)
        if path == "/api/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(words["prefix"])
                          and key > words.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]],
                         "has_more": len(keys) > 500, "as_of": self.revision}
        if path == "/api/kv-watch":
            return await self.watch(words)
        if path == "/api/kv-txn":
            return self.transact(json.loads(body))
        if path == "/api/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        return 404, {}

    async def watch(self, words):
        after = int(words["after"])
        end = time.monotonic() + int(words["wait_ms"]) / 1000
        while True:
            events = [event for event in self.events if event["rev"] > after
                      and event["key"].startswith(words["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                self.expire()

    def transact(self, body):
        for row in body.get("expected_rev", []):
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": []}
        for row in body.get("writes", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("writes", []):
            self.put(row["key"], base64.b64decode(row["value"]),
                     row.get("lease", 0))
        for key in body.get("deletes", []):
            self.remove(key)
        return 200, {"rev": self.revision}


class Upstream:
    """A sound upstream: runs a request for `work` seconds and answers with its
    id, a signature and a body of its own. A case overrides answer()."""

    numbers = itertools.count(1)

    def __init__(self, lab, service, zone, slots=3, work=0.02):
        self.lab = lab
        self.name = f"i-{next(self.numbers):04d}"
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work = work
        self.running = 0
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.server = None
        self.port = 0
        self.writers = set()
        self.is_registered = True

    async def open(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=1 << 26)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat()

    def beat(self):
        self.sequence += 1
        entry = {"service": self.service, "zone": self.zone,
                 "address": f"127.0.0.1:{self.port}", "version": "v1",
                 "capacity": self.slots, "state": self.state,
                 "warmup_left_ms": 0, "sequence": self.sequence,
                 "born": self.born}
        self.lab.store.put("servers/" + self.name, json.dumps(entry).encode())

    async def serve(self, reader, writer):
        self.writers.add(writer)
        connection = {"requests": 0}
        try:
            while True:
                line, pairs = await read_head(reader)
                method, target, _ = line.split()
                if target == "/health":
                    await self.send(writer, "200 OK", self.words(), b"")
                    continue
                body = await read_body(reader, pairs)
                identity = find(pairs, "x-request-id", "")
                connection["requests"] += 1
                wanted = find(pairs, "x-target-instance")
                if wanted not in (None, self.name):
                    await self.send(writer, "421 Misdirected Request",
                                    [f"X-Instance-Id: {self.name}",
                                     f"X-Request-Id: {identity}"], b"")
                    continue
                await self.answer(writer, connection, method, target, pairs,
                                  body, identity)
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def words(self):
        return [f"X-Instance-Id: {self.name}",
                f"X-Instance-Load: {self.running},0,{self.slots},100"]

    async def answer(self, writer, connection, method, target, pairs, body,
                     identity):
        await self.run(identity, method, target, body)
        await self.send(writer, "200 OK",
                        self.words() + self.identity_words(identity),
                        self.content(identity))

    def identity_words(self, identity):
        return [f"X-Server-Signature: sig.{self.name}.{identity}",
                f"X-Request-Id: {identity}"]

    def content(self, identity):
        return f"{self.name} ran {identity}".encode()

    async def run(self, identity, method, target, body, work=None):
        self.lab.runs.setdefault(identity, []).append(
            (self.name, method, target, len(body)))
        self.lab.record.write(f"run {identity} at {self.name}: {method} "
                              f"{target} body {len(body)}")
        self.running += 1
        try:
            await asyncio.sleep(self.work if work is None else work)
        finally:
            self.running -= 1

    async def send(self, writer, status, words, body):
        head = [f"HTTP/1.1 {status}", *words, f"Content-Length: {len(body)}"]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        await writer.drain()

    def end(self):
        """Ends like a process that crashes."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Host:
    """An entry host: a process of the deploy file's command."""

    def __init__(self, lab, number, zone):
        self.lab = lab
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.address = f"127.0.{lab.net}.{number}"
        self.process = None
        self.door = None
        self.starts = 0

    def write_settings(self):
        lab = self.lab
        settings = {
            "name": self.name, "zone": self.zone,
            "zones": {zone: "region" for zone in lab.zones},
            "callers": f"{self.address}:{lab.ports['front']}",
            "directory": f"{self.address}:{lab.ports['directory']}",
            "readiness": f"{self.address}:{lab.ports['readiness']}",
            "peers": {"address": self.address, "port": lab.ports["peers"]},
            "administration": {"address": self.address,
                               "port": lab.ports["administration"]},
            "platform": f"127.0.0.1:{self.door['port'] if self.door else lab.store.port}",
            "platform_kind": "users", "platform_bounds": lab.bounds,
            "cores": 1, "processor_share": 0.2, "max_descriptors": 4100,
            "seeds": [f"{host.address}:{lab.ports['control']}"
                      for host in lab.hosts[:3]],
            "platform_calls_per_second": 20, "trust_peer_network": True,
            "max_owners_per_zone": 1}
        self.settings = os.path.join(lab.folder, self.name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start(self):
        self.write_settings()
        self.starts += 1
        log = open(os.path.join(self.lab.folder,
                                f"{self.name}.{self.starts}.log"), "wb")
        self.process = subprocess.Popen(
            ["target/hawthornspur", "serve", "--settings=" + self.settings],
            cwd=REPOSITORY, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.lab.record.write(f"start {self.name} pid {self.process.pid}")

    def signal(self, number):
        self.lab.record.write(f"{signal.Signals(number).name} {self.name}")
        self.process.send_signal(number)

    def memory_mb(self):
        """Largest resident size of the process so far."""
        try:
            with open(f"/proc/{self.process.pid}/status",
                      encoding="utf-8") as file:
                for line in file:
                    if line.startswith("VmHWM:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    def log_text(self):
        text = ""
        for number in range(1, self.starts + 1):
            path = os.path.join(self.lab.folder, f"{self.name}.{number}.log")
            with open(path, encoding="utf-8", errors="replace") as file:
                text += file.read()
        return text


def run_case(case, limit_s=110):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held and 2
    if the case couldn't run. The case ends its processes itself."""

    async def guarded():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(case(), limit_s)

    try:
        sys.exit(1 if asyncio.run(guarded()) else 0)
    except CannotRun as problem:
        print(f"the case couldn't run: {problem}")
    except (Exception, asyncio.CancelledError) as problem:
        print(f"the case couldn't run: {problem!r}")
    sys.exit(2)


class CannotRun(Exception):
    """The case did not come to the state that it is about."""


class Answer:
    """What a client saw: status 0 without a complete head."""

    def __init__(self):
        self.status = 0
        self.headers = []
        self.body = b""
        self.is_complete = False
        self.problem = ""
        self.left_over = b""


class Lab:
    """The deployment of one case."""

    def __init__(self, folder, zones=("a",), hosts_per_zone=2, bounds=None):
        self.record = Record(folder)
        self.keep = os.environ.get("KEEP")
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.zones = list(zones)
        self.net = 1 + os.getpid() % 250
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.store = Store()
        self.runs = {}
        self.hosts = []
        self.upstreams = []
        self.ids = itertools.count(1)
        for zone in self.zones:
            for _ in range(hosts_per_zone):
                self.hosts.append(Host(self, len(self.hosts) + 1, zone))
        names = ("front", "directory", "readiness", "peers", "administration",
                 "control")
        self.ports = dict(zip(names, free_ports(len(names))))
        self.tasks = []

    def new_id(self):
        return f"{next(self.ids):04d}{os.urandom(6).hex()}"

    def put_config(self, resources, version):
        self.store.put("op/config", json.dumps(
            {"version": version, "resources": resources}).encode())

    async def open(self, resources):
        await self.store.open()
        for upstream in self.upstreams:
            await upstream.open()
        self.put_config(resources, 7)
        self.tasks.append(asyncio.create_task(self.beat()))
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            await self.wait_ready(host)

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for upstream in self.upstreams:
                if upstream.is_registered:
                    upstream.beat()

    async def wait_ready(self, host, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            answer = await self.call(host, "GET", "/api/readiness",
                                     port="readiness", quiet=True)
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{host.name} is not ready")

    async def resolve(self, zone):
        """The hosts that the directory names to clients of a zone."""
        for host in self.hosts:
            answer = await self.call(
                host, "GET", "/api/resolve?name=x.example&region=region&zone="
                + zone, port="directory")
            if answer.status != 200:
                continue
            names = json.loads(answer.body)["addresses"]
            found = [each for each in self.hosts
                     if f"{each.address}:{self.ports['front']}" in names]
            if found:
                self.record.write(f"clients of zone {zone} use "
                                  f"{[each.name for each in found]}")
                return found
        raise CannotRun("the directory names no host")

    async def call(self, host, method, path, words=(), body=b"", timeout=5.0,
                   port="front", quiet=False, connection=None):
        """One request. `connection` is a (reader, writer) to use again."""
        answer = Answer()
        writer = None
        try:
            if connection:
                reader, writer = connection
            else:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(host.address, self.ports[port],
                                            limit=1 << 26), 1.0)
            head = [f"{method} {path} HTTP/1.1", *words]
            if body or method in ("POST", "PUT"):
                head.append(f"Content-Length: {len(body)}")
            if not any(word.lower().startswith("host:") for word in words):
                head.append("Host: x.example")
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
            writer.write(body)
            await asyncio.wait_for(self.read_answer(reader, method, answer),
                                   timeout)
        except asyncio.TimeoutError:
            answer.problem = "no answer in time"
        except (OSError, asyncio.IncompleteReadError, ValueError) as fault:
            answer.problem = f"{type(fault).__name__}: {fault}"
        finally:
            if writer and not connection:
                writer.close()
        return answer

    async def read_answer(self, reader, method, answer):
        line, answer.headers = await read_head(reader)
        answer.status = int(line.split()[1])
        if method == "HEAD" or answer.status in (204, 304):
            answer.is_complete = True
            return
        coding = (find(answer.headers, "transfer-encoding") or "").lower()
        if coding == "chunked" or find(answer.headers, "content-length"):
            answer.body = await read_body(reader, answer.headers)
        else:
            answer.body = await reader.read()
        answer.is_complete = True

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
            if host.process:
                host.process.wait()
        if not self.keep:
            for name in os.listdir(self.folder):
                os.unlink(os.path.join(self.folder, name))
            os.rmdir(self.folder)


def route(name, prefix, kind, service=None, timeout_ms=2000, aim_ms=500,
          attempts=2, **more):
    spec = {"hostname": "x.example", "prefix": prefix, "type": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": aim_ms,
            "priority": 1, "max_attempts": attempts}
    if service:
        spec["service"] = service
    spec.update(more)
    return {"resource_kind": "routes", "metadata": {"name": name},
            "spec": spec}


def service(name, max_conns=220):
    return {"resource_kind": "services", "metadata": {"name": name},
            "spec": {"health_path": "/health", "max_conns": max_conns,
                     "protocol": "h1", "tls": False}}


def limits(idle_timeout_ms=15000):
    return {"resource_kind": "limits", "metadata": {},
            "spec": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                     "header_timeout_ms": 3000,
                     "idle_timeout_ms": idle_timeout_ms}}
