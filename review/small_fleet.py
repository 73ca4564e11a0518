"""Stand-ins of the users' platform for the scripts of the third review: its
store, targets and callers, on loopback addresses and the real clock, and the
entry hosts of the deploy file as separate processes."""

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

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
HOST_NAME = "shop.example"
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000,
    "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 58,
    "recovery_s": 15, "ttl_max_s": 5, "probes_per_s": 60}


class Record:
    """Writes what happens to record.txt of a case."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        # The log lives as long as the process.
        # pylint: disable=consider-using-with
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads the head and body of an HTTP message with a length or chunks."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def make_answer(status, headers, body):
    lines = [f"HTTP/1.1 {status}", *headers, f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's metadata store: items, ranges, watches and leases."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.writes = []
        # Called with the address of the caller; true turns the call away.
        self.turns_away = lambda peer: False

    def put(self, key, value, lease=0):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(data).decode(),
                "rev": self.revision,
                "created": old["created"] if old else self.revision,
                "lease": lease}
        self.items[key] = item
        self._tell(item)
        return self.revision

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._tell({"key": key, "rev": self.revision, "removed": True})

    def _tell(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease, (_, end) in list(self.leases.items()):
            if end < now:
                del self.leases[lease]
                for key in [k for k, i in self.items.items()
                            if i["lease"] == lease]:
                    self.delete(key)

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                line, _, body = await read_message(reader)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                words = dict(part.partition("=")[::2]
                             for part in query.split("&") if part)
                words = {key: unquote(value) for key, value in words.items()}
                if self.turns_away(peer):
                    writer.write(make_answer("503 Busy", [], b"{}"))
                    continue
                status, answer = await self.handle(
                    method, path, words, json.loads(body or b"{}"))
                writer.write(make_answer(
                    f"{status} X", ["Content-Type: application/json"],
                    json.dumps(answer).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, words, body):
        self.expire()
        prefix = words.get("prefix", "")
        if path == "/api/kv-key":
            item = self.items.get(words.get("key"))
            if item is None:
                return 404, {"as_of": self.revision}
            return 200, {**item, "as_of": self.revision}
        if path == "/api/kv-range":
            keys = sorted(key for key in self.items if key.startswith(prefix)
                          and key > words.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]],
                         "has_more": len(keys) > 500, "as_of": self.revision}
        if path == "/api/kv-watch":
            after, end = int(words["after"]), time.monotonic() + \
                int(words["wait_ms"]) / 1000
            while True:
                found = [event for event in self.events if event["rev"] > after
                         and event["key"].startswith(prefix)]
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "as_of": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/api/kv-lease":
            self.next_lease += 1
            life = body["ttl_ms"] / 1000
            self.leases[self.next_lease] = (life, time.monotonic() + life)
            return 200, {"lease": self.next_lease, "ttl_ms": body["ttl_ms"]}
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            life = self.leases[lease][0]
            self.leases[lease] = (life, time.monotonic() + life)
            return 200, {"ttl_ms": int(life * 1000)}
        if path == "/api/kv-txn":
            for row in body.get("expected_rev", []):
                item = self.items.get(row["key"])
                if (item["rev"] if item else 0) != row["rev"]:
                    return 412, {"items": [item] if item else []}
            for row in body.get("writes", []):
                if row["key"].startswith(("op/", "servers/")):
                    return 403, {}
                lease = row.get("lease", 0)
                if lease and lease not in self.leases:
                    return 404, {}
                self.put(row["key"], base64.b64decode(row["value"]), lease)
            for key in body.get("deletes", []):
                self.delete(key)
            return 200, {"rev": self.revision}
        return 404, {}


def unquote(text):
    return re.sub("%([0-9A-Fa-f]{2})", lambda m: chr(int(m.group(1), 16)), text)


class Target:
    """A sound target. It counts what runs; `behave` may change an answer."""

    read_limit = 2 ** 20

    def __init__(self, world, name, service, zone, slots=3):
        self.world, self.name, self.service = world, name, service
        self.zone, self.slots = zone, slots
        self.running, self.sequence, self.state = 0, 0, "ready"
        self.work = 0.05
        self.address = None
        self.server = None
        self.writers = set()
        self.runs = []  # (time, request id, headers, body size)
        self.dropped = {}  # request id: when its connection closed
        self.done = {}  # request id: when its work was complete
        self.arrivals = []  # (time, request id, path)
        self.behave = None
        self.begin = None  # called when the target begins to work
        self.born = int(time.time() * 1000)

    async def open(self):
        self.server = await asyncio.start_server(
            self.serve, self.world.target_ip, 0, backlog=512, limit=self.read_limit)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def beat(self):
        self.sequence += 1
        self.world.store.put("servers/" + self.name, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "capacity": self.slots,
            "state": self.state, "warmup_left_ms": 0,
            "sequence": self.sequence, "born": self.born})

    def load(self):
        return f"X-Instance-Load: {self.running},0,{self.slots},100"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                await self.answer(line, headers, body, reader, writer)
        except (OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def do_work(self, request, reader):
        """Works on a request, and drops it when its connection closes."""
        begin = time.monotonic()
        while time.monotonic() < begin + self.work:
            await asyncio.sleep(min(0.02, self.work))
            if reader.at_eof():
                self.dropped[request] = time.monotonic()
                raise ConnectionResetError
        self.done[request] = time.monotonic()

    async def answer(self, line, headers, body, reader, writer):
        path = line.split(" ")[1]
        words = [f"X-Instance-Id: {self.name}", self.load()]
        if path == "/health":
            status = "200 OK" if self.state == "ready" else "503 Leaving"
            writer.write(make_answer(status, words, b""))
            return
        request = headers.get("x-request-id", "")
        self.arrivals.append((time.monotonic(), request, path))
        words.append(f"X-Request-Id: {request}")
        if headers.get("x-target-instance", self.name) != self.name:
            writer.write(make_answer("421 Misdirected", words, b""))
            return
        if self.running >= self.slots + 12:
            writer.write(make_answer("503 Full",
                                     words + ["X-Not-Executed: 1"], b""))
            return
        self.runs.append((time.monotonic(), request, headers, len(body)))
        self.running += 1
        if self.begin is not None:
            self.begin(request, words, writer)
        try:
            await self.do_work(request, reader)
            if self.behave is not None:
                await self.behave(self, request, words, writer)
            else:
                writer.write(make_answer(
                    "200 OK", words + [f"X-Server-Signature: sig.{request}"],
                    f"answer to {request}".encode()))
                await writer.drain()
        finally:
            self.running -= 1


class Host:
    """An entry host: a process of the deploy file's command."""

    def __init__(self, world, name, zone, ip):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.process = None
        self.ends = 0
        self.settings = os.path.join(world.folder, name + ".json")
        self.log = os.path.join(world.folder, name + ".log")

    def write_settings(self):
        world = self.world
        fields = {
            "node": self.name, "zone": self.zone, "zones": world.zones,
            "ip": self.ip,
            "listen": {"front": f"{self.ip}:{world.ports['front']}",
                       "readiness": f"{self.ip}:{world.ports['readiness']}",
                       "directory": f"{self.ip}:{world.ports['directory']}"},
            "port_range": [world.ports["peers"], world.ports["peers"] + 15],
            "bounds": world.bounds,
            "provider": {"address": world.store_address},
            "limits": {"cores": 1, "cpu_share": 0.2, "max_fds": 4100},
            "seeds": [f"{host.ip}:{world.ports['peers']}"
                      for host in world.seeds()]}
        with open(os.path.join(REPOSITORY, "deploy", "host-settings.json"),
                  encoding="utf-8") as file:
            text = fill(file.read(), fields)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        self.write_settings()
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                ["target/hawthornspur", "serve", "--settings=" + self.settings],
                cwd=REPOSITORY, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "LANG": "C",
                     "HOME": "/", "HAWTHORNSPUR_SETTINGS": self.settings})

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def memory_mb(self):
        """Resident memory now, in MB; 0 if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status",
                      encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except (OSError, AttributeError):
            pass
        return 0.0


def fill(template, fields):
    """Fills in a settings template as DEPLOY.md tells."""
    def find(path, scope):
        value = scope
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def section(match):
        value = find(match.group(1), fields)
        inner = match.group(2)
        if isinstance(value, list):
            rows = []
            for index, entry in enumerate(value):
                last = index + 1 == len(value)
                rows.append(inner.replace("{{.}}", str(entry))
                            .replace("{{,}}", "" if last else ","))
            return "".join(rows)
        return inner if value else ""

    def value_of(match):
        path, _, form = match.group(1).partition("|")
        value = find(path, fields)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", value_of, text)


class World:
    """A small deployment on loopback."""

    def __init__(self, folder, zones=("a", "b", "c"), hosts_per_zone=2,
                 bounds=None):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="hawthornspur-review-")
        self.zones = {zone: "region" for zone in zones}
        self.bounds = dict(BOUNDS, **(bounds or {}))
        base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.target_ip = base + ".200"
        self.store = Store()
        self.store_address = None
        self.hosts = []
        for index, zone in enumerate(zones):
            for number in range(hosts_per_zone):
                self.hosts.append(Host(self, f"entry-{zone}-{number + 1}", zone,
                                       f"{base}.{10 * (index + 1) + number}"))
        first = free_port(self.hosts[0].ip)
        self.ports = {"front": first, "readiness": first + 1,
                      "directory": first + 2, "peers": first + 10}
        self.targets = []
        self.tasks = []
        signal.signal(signal.SIGTERM, self.end_early)

    def seeds(self):
        chosen = {}
        for host in self.hosts:
            chosen.setdefault(host.zone, host)
        return list(chosen.values())[:3]

    async def start(self, document, targets):
        server = await asyncio.start_server(self.store.serve, self.target_ip, 0,
                                            backlog=512, limit=2 ** 22)
        self.store_address = "%s:%d" % server.sockets[0].getsockname()[:2]
        self.store.put("op/config", document)
        for target in targets:
            await target.open()
            target.beat()
            self.targets.append(target)
        self.tasks.append(asyncio.ensure_future(self.keep_beating()))
        for host in self.hosts:
            host.start()
        for _ in range(200):
            if all([await self.is_ready(host) for host in self.hosts]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def keep_beating(self):
        while True:
            await asyncio.sleep(self.heartbeat)
            for target in self.targets:
                if target.state != "gone":
                    target.beat()

    heartbeat = 1.5

    async def is_ready(self, host):
        try:
            status, _, _ = await asyncio.wait_for(one_exchange(
                (host.ip, self.ports["readiness"]),
                b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n"), 1)
            return status == 200
        except (OSError, EOFError, asyncio.TimeoutError, ValueError):
            return False

    async def resolve(self, host, zone):
        try:
            _, _, body = await asyncio.wait_for(one_exchange(
                (host.ip, self.ports["directory"]),
                f"GET /api/resolve?name={HOST_NAME}&region=region&zone={zone} "
                "HTTP/1.1\r\nHost: x\r\n\r\n".encode()), 1)
            return json.loads(body)["addresses"]
        except (OSError, EOFError, asyncio.TimeoutError, ValueError, KeyError):
            return []

    def end(self):
        for host in self.hosts:
            if host.is_running():
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        for task in self.tasks:
            task.cancel()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def end_early(self, _number, _frame):
        """The case takes too long: it couldn't run."""
        self.end()
        os._exit(2)


def free_port(ip):
    """The first of a run of ports that are free on this address."""
    while True:
        port = random.randint(12000, 30000)
        try:
            with socket.socket() as probe:
                probe.bind((ip, port))
            return port
        except OSError:
            continue


async def read_answer(reader, head_only=False):
    line, headers, body = None, None, b""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    line = lines[0]
    pairs = (text.partition(":") for text in lines[1:] if text)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    if not head_only:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        else:
            body = await reader.readexactly(
                int(headers.get("content-length", 0)))
    return int(line.split(" ")[1]), headers, body


async def one_exchange(address, request):
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        await writer.drain()
        return await read_answer(reader)
    finally:
        writer.close()


def make_request(method, path, name, deadline_ms, body=b"", extra=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}",
             f"X-Request-Id: {name}", f"X-Deadline-Ms: {deadline_ms}", *extra]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def route(name, prefix, service, kind, timeout_ms, target_latency_ms=400,
          priority=1, max_attempts=2, **more):
    return {"resource_kind": "routes", "metadata": {"name": name},
            "spec": {"hostname": HOST_NAME, "prefix": prefix, "type": kind,
                     "timeout_ms": timeout_ms,
                     "target_latency_ms": target_latency_ms,
                     "priority": priority, "service": service,
                     "max_attempts": max_attempts, **more}}


def service(name, **more):
    return {"resource_kind": "services", "metadata": {"name": name},
            "spec": {"health_path": "/health", "max_conns": 220,
                     "protocol": "h1", "tls": False, **more}}


def tenant(name, keys, rate, burst):
    return {"resource_kind": "tenants", "metadata": {"name": name},
            "spec": {"api_keys": keys, "priority": 1, "rate_per_s": rate,
                     "burst": burst}}


LIMITS = {"resource_kind": "limits", "metadata": {},
          "spec": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def configuration(version, resources):
    return {"version": version, "resources": [*resources, LIMITS]}
