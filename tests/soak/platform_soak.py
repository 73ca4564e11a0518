#!/usr/bin/env python3
"""Fault soak on the users' platform: entry hosts with the platform's adapter,
its store, targets and callers as processes and sockets on loopback. The seed
determines the scenario, the faults and their times.
Usage: platform_soak.py [--build DIR] [--seeds A-B] [--scenario NAME]
[--seconds N] [--hosts N] [--rate N]"""

import argparse
import asyncio
import base64
import collections
import dataclasses
import functools
import json
import os
import random
import signal
import sys
import tempfile
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "review"))
import platform_rules as rules  # pylint: disable=wrong-import-position
import standins  # pylint: disable=wrong-import-position

ZONES = ["a", "b", "c"]
HOSTS_PER_ZONE = 2
TARGETS_PER_ZONE = {"map": 3, "pay": 2}
SLOTS = 3
RATE = 250  # requests a second
MAX_ATTEMPTS = 2
DEADLINE_SECONDS = {"map": 1.5, "pay": 2.0}
# Share of the callers that keep to a host of an old address answer.
STALE_SHARE = 0.15
HEARTBEAT_SECONDS = 1.5
REFRESH_SECONDS = 1.0
STALLED_CALLERS = 400
ENDLESS_PIECE = 16384
HOST_MEMORY_MB = 260
CROWD_DESCRIPTORS = 300  # of a host; about 40 of them are for callers
CROWD_BURST = 8
CROWD_PAUSE_SECONDS = 0.01
CROWD_WORK_SECONDS = 0.6
CROWD_IDLE_SECONDS = 0.5
REFUSED_SHARE = 0.3
COPIED_SHARE = 2 / 3  # of the refusals
COPIED_SUCCESS_SHARE = 0.1
LATE_COPY_SECONDS = (0.0005, 0.02)
RESTART_PAUSE_SECONDS = (0.2, 1.0)  # at RATE requests a second
# Time for which the entry of a target that has ended is still listed.
EXPIRY_SECONDS = 3 * HEARTBEAT_SECONDS
END_STEP_SECONDS = 0.05


@dataclasses.dataclass
class Connection:
    """A connection as its target sees it."""
    refused: set = dataclasses.field(default_factory=set)  # ids
    # Kind and text of a copy that is due when the next request arrives.
    copy: tuple = ()


class Door(standins.Door):
    """Gives its host an address of its own for each target, so that targets
    know which host sends them a request."""

    def __init__(self, store, host, targets):
        super().__init__(store)
        self.host = host
        self.targets = targets

    def serve(self, connection):
        self.store.talk(connection, self.handle)

    def handle(self, *call):
        if self.is_closed:
            return 503, {}
        status, answer = self.store.handle(*call)
        for item in answer.get("items", answer.get("events", [])):
            if item["key"].startswith("servers/") and "value" in item:
                self.rewrite(item)
        return status, answer

    def rewrite(self, item):
        entry = json.loads(base64.b64decode(item["value"]))
        port = self.targets[entry["at"]].ports[self.host]
        entry["address"] = f"{standins.UPSTREAM_ADDRESS}:{port}"
        item["value"] = base64.b64encode(json.dumps(entry).encode()).decode()


class Target:
    """A target that serves, rejects or resets requests, as its faults say."""

    def __init__(self, run, name, service, zone):
        self.run = run
        self.name = name
        self.service = service
        self.zone = zone
        self.work = 0.02
        self.running = 0
        self.reset_share = 0.0
        self.refused_share = 0.0
        self.copied_share = 0.0  # of the refusals
        self.copied_success_share = 0.0
        self.is_shedding = False
        self.limit = None
        self.is_leaving = False  # says so in its answers
        self.slots = SLOTS
        self.endless = None  # head of answers whose body has no end
        self.state = "ready"
        self.is_registered = True
        self.address_of = name  # of another target after a move
        self.servers = []
        self.ports = {}  # host: port at which it reaches the target
        self.writers = set()

    async def open(self):
        for host in self.run.fleet.hosts:
            server = await asyncio.start_server(
                functools.partial(self.serve, host.name),
                standins.UPSTREAM_ADDRESS, 0, backlog=512)
            self.servers.append(server)
            self.ports[host.name] = server.sockets[0].getsockname()[1]

    def close(self):
        self.end_connections()
        self.run.records.ended_targets.add(self.name)

    def end_connections(self):
        for server in self.servers:
            server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, sequence):
        return {"service": self.service, "zone": self.zone, "version": "v1",
                "at": self.address_of, "capacity": self.slots, "state": self.state, "warmup_left_ms": 0,
                "sequence": sequence, "born": 1}

    def restart(self, name):
        """Ends all connections and goes on under another name."""
        for writer in list(self.writers):
            writer.transport.abort()
        self.run.records.ended_targets.add(self.name)
        self.name = name

    async def serve(self, host, reader, writer):
        self.writers.add(writer)
        self.run.connections += 1
        connection = Connection()
        try:
            while True:
                await self.answer(reader, writer, host, connection)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def refuse(self, connection, writer, request, status, words):
        """Refuses a request, at times with a copy of the refusal: at once,
        late, as soon as the next request arrives on the connection, or then
        and broken off."""
        text = make_answer(status, words, b"")
        connection.refused.add(request)
        writer.write(text)
        if self.run.rng.random() >= self.copied_share:
            return
        self.repeat(connection, writer, text,
                    ["at once", "late", "next", "broken off"])

    def repeat(self, connection, writer, text, kinds):
        kind = self.run.rng.choice(kinds)
        if kind == "next":
            connection.copy = kind, text
        elif kind == "broken off":
            connection.copy = kind, text[:self.run.rng.randrange(1, len(text))]
        else:
            self.run.copies[kind] += 1
            if kind == "at once":
                writer.write(text)
            else:
                asyncio.get_running_loop().call_later(
                    self.run.rng.uniform(*LATE_COPY_SECONDS), writer.write,
                    text)

    def succeed(self, connection, writer, request, words):
        """Answers a request, at times with a copy of the answer: late, or one
        that breaks off before the next answer on the connection."""
        text = make_answer("200 OK", words + [
            f"X-Server-Signature: sig.{request}"], f"of {request}".encode())
        writer.write(text)
        if self.run.rng.random() < self.copied_success_share:
            self.repeat(connection, writer, text, ["late", "broken off"])

    async def answer(self, reader, writer, host, connection):
        line, headers = await read_head(reader)
        await reader.readexactly(int(headers.get("content-length", 0)))
        words = [f"X-Instance-Id: {self.name}", "X-Instance-Load: "
                 f"{self.running},0,{self.slots},100"]
        if self.is_leaving:
            words.append("Server-Leaving: 1")
        if self.limit:
            words.append(f"Server-Limit: {self.limit}")
        if line.split()[1] == "/health":
            status = "200 OK" if not self.is_leaving else "503 Leaving"
            write(writer, status, words, b"")
            return
        now = time.monotonic()
        request = headers.get("x-request-id", "")
        if request in connection.refused:
            self.run.records.returned.append((request, self.name))
        if connection.copy:
            kind, text = connection.copy
            self.run.copies[kind] += 1
            writer.write(text)
            connection.copy = ()
        words.append(f"X-Request-Id: {request}")
        arrival = rules.Arrival(
            now, request, self.service, self.name, host,
            now + int(headers.get("x-deadline-ms", 10**6)) / 1000 -
            self.run.lag, False)
        self.run.records.arrivals.append(arrival)
        if headers.get("x-target-instance", self.name) != self.name:
            arrival.is_other_target = True
            self.refuse(connection, writer, request, "421 Misdirected", words)
            return
        if (self.is_shedding or self.running >= 4 * self.slots or
                self.run.rng.random() < self.refused_share):
            self.refuse(connection, writer, request, "503 Full",
                        words + ["X-Not-Executed: 1"])
            return
        arrival.ran = True
        if self.endless:
            writer.write(self.endless)
            while True:
                writer.write(bytes(ENDLESS_PIECE))
                await writer.drain()
        self.running += 1
        await asyncio.sleep(self.work * self.run.rng.uniform(0.5, 1.5))
        self.running -= 1
        if self.run.rng.random() < self.reset_share:
            writer.transport.abort()
            raise ConnectionResetError
        self.succeed(connection, writer, request, words)
        if self.run.caller_hosts.get(request) and (self.is_leaving or
                                                   self.limit):
            self.run.words[request] = (self, host)


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {}
    for name, _, value in pairs:
        headers.setdefault(name.lower(), []).append(value.strip())
    return lines[0], {name: ", ".join(each) for name, each in headers.items()}


def make_answer(status, headers, body):
    text = "\r\n".join([f"HTTP/1.1 {status}", *headers,
                        f"Content-Length: {len(body)}"])
    return text.encode() + b"\r\n\r\n" + body


def write(writer, status, headers, body):
    writer.write(make_answer(status, headers, body))


class Run:
    """One seed: the fleet, the targets, the callers and the faults."""

    def __init__(self, seed, scenario, build, seconds, hosts_per_zone, rate):
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.rate = rate
        self.scenario = scenario
        self.records = rules.Records()
        self.folder = tempfile.mkdtemp(prefix=f"platform-soak-{seed}-")
        os.makedirs(os.path.join(self.folder, "target"))
        program = os.path.join(os.path.abspath(build), "hawthornspur")
        link = os.path.join(self.folder, "target", "hawthornspur")
        if scenario == "crowd":
            with open(link, "w", encoding="ascii") as script:
                script.write(f"#!/bin/sh\nulimit -n {CROWD_DESCRIPTORS}\n"
                             f'exec {program} "$@"\n')
            os.chmod(link, 0o755)
        else:
            os.symlink(program, link)
        # The starter of the stand-ins runs the program from this folder.
        standins.REPOSITORY = self.folder
        standins.BOUNDS["budget_slack"] = rules.BUDGET_SLACK
        self.record = standins.Record(self.folder)
        self.fleet = standins.Fleet(self.record, ZONES, hosts_per_zone)
        self.targets = {}
        for host in self.fleet.hosts:
            host.store = Door(self.fleet.store, host.name, self.targets)
        self.caller_zones = ZONES
        self.addresses = {}
        self.idle = {}  # (caller zone, address): idle connections
        self.caller_hosts = {}  # id: host that took the request
        self.words = {}  # id: (target that said something, dispatching host)
        self.outcomes = {}
        self.connections = 0  # that targets have accepted
        self.copies = collections.Counter()  # of answers, by their kind
        self.peak = 0.0  # memory of a host, in MB
        self.sequence = 1
        self.lag = 0.0  # of this process, in seconds
        self.hosts_by_address = {host.address: host
                                 for host in self.fleet.hosts}

    def log(self, text):
        self.record.write(text)

    async def start(self):
        for zone in ZONES:
            for service, number in TARGETS_PER_ZONE.items():
                for index in range(number):
                    target = Target(self, f"i-{service}-{zone}{index}",
                                    service, zone)
                    await target.open()
                    self.targets[target.name] = target
        self.fleet.store.put("op/config", standins.configuration(7, [
            standins.route("r-map", "/map/", "map", "read_only", 1500,
                           MAX_ATTEMPTS),
            standins.route("r-pay", "/pay/", "pay", "non_idempotent", 2000,
                           MAX_ATTEMPTS)], list(TARGETS_PER_ZONE)))
        self.beat()
        self.fleet.start()
        if not await asyncio.to_thread(self.fleet.wait_until_ready):
            raise RuntimeError("the hosts did not become ready")

    def beat(self):
        self.sequence += 1
        for target in self.targets.values():
            if target.is_registered:
                self.fleet.store.beat("servers/" + target.name,
                                      target.entry(self.sequence))

    async def watch_lag(self):
        """What arrives may have waited that long before it is read."""
        step = 0.05
        recent = collections.deque(maxlen=int(1 / step))
        while True:
            before = time.monotonic()
            await asyncio.sleep(step)
            recent.append(time.monotonic() - before - step)
            self.lag = max(recent)

    async def keep_beating(self):
        while True:
            self.beat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def keep_resolving(self):
        while True:
            for zone in ZONES:
                for host in self.rng.sample(self.fleet.hosts, 3):
                    try:
                        _, _, body = await asyncio.wait_for(exchange(
                            (host.address, self.fleet.ports[1]),
                            f"GET /api/resolve?name={standins.HOST_NAME}&"
                            f"region=mx-centro&zone={zone} HTTP/1.1\r\n"
                            "Host: x\r\n\r\n".encode()), 1)
                        self.addresses[zone] = json.loads(body)["addresses"]
                        break
                    except (OSError, EOFError, ValueError, KeyError,
                            asyncio.TimeoutError):
                        continue
            await asyncio.sleep(REFRESH_SECONDS)

    async def call(self, number):
        zone = self.rng.choice(self.caller_zones)
        service = "map" if self.rng.random() < 0.7 else "pay"
        known = self.addresses.get(zone, [])
        if known and self.rng.random() > STALE_SHARE:
            address = self.rng.choice(known).rsplit(":", 1)[0]
        else:
            address = self.rng.choice(self.fleet.hosts).address
        name = f"q{number}"
        host = self.hosts_by_address[address].name
        now = time.monotonic()
        deadline = DEADLINE_SECONDS[service]
        self.records.requests[name] = rules.Request(
            service, now, now + deadline, host, MAX_ATTEMPTS)
        self.caller_hosts[name] = host
        body = b"amount=100" if service == "pay" else b""
        request = standins.make_request(
            "PUT" if body else "GET", f"/{service}/1", name,
            int(deadline * 1000), body)
        status = "no answer"
        try:
            status, headers, answer = await asyncio.wait_for(
                self.send((address, self.fleet.ports[0]), request), deadline)
            if status == 200 and (f"sig.{name}", f"of {name}".encode()) != (
                    headers.get("x-server-signature"), answer):
                self.records.mixed.append((name, headers, answer))
        except (OSError, EOFError, asyncio.TimeoutError, ValueError):
            pass
        self.note_outcome(service, status, name)
        if status == 200 and name in self.words:
            target, sender = self.words.pop(name)
            for passing in {host, sender}:
                if target.is_leaving:
                    self.records.leaving.append(
                        (target.name, time.monotonic(), passing))
                if target.limit:
                    self.records.limits.append((target.name, time.monotonic(),
                                                target.limit, passing))

    def note_outcome(self, service, status, name):
        key = (service, status)
        self.outcomes[key] = self.outcomes.get(key, 0) + 1
        if service == "pay" and status in rules.PROMISES:
            self.records.promised.add(name)

    async def send(self, address, request):
        """Uses an open connection until its host closes it."""
        idle = self.idle.setdefault(address, [])
        connection = idle.pop() if idle else None
        if connection is None or connection[0].at_eof():
            connection = await asyncio.open_connection(*address)
        reader, writer = connection
        try:
            answer = await exchange_on(reader, writer, request)
        except BaseException:
            writer.transport.abort()
            raise
        if answer[1].get("connection") == "close":
            writer.close()
        else:
            idle.append(connection)
        return answer

    async def load(self):
        tasks, number = set(), 0
        begin = time.monotonic()
        while time.monotonic() < begin + self.seconds:
            number += 1
            task = asyncio.ensure_future(self.call(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(max(0, begin + number / self.rate -
                                    time.monotonic()))
        await asyncio.gather(*tasks)
        self.log(f"{number} requests, outcomes {self.outcomes}")

    @staticmethod
    def send_signal(host, number):
        """The process may have ended meanwhile."""
        if host.process.poll() is None:
            host.signal(number)

    def disturb(self, host, begin):
        self.records.disturbances[host.name].append((begin, time.monotonic()))

    async def kill(self, host, number=signal.SIGKILL):
        begin = time.monotonic()
        self.records.disturbances[host.name].append((begin, float("inf")))
        self.send_signal(host, number)
        await asyncio.to_thread(host.process.wait)
        await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        host.start()
        self.records.disturbances[host.name].remove((begin, float("inf")))
        self.disturb(host, begin)

    async def freeze(self, host):
        begin = time.monotonic()
        self.records.disturbances[host.name].append((begin, float("inf")))
        self.send_signal(host, signal.SIGSTOP)
        await asyncio.sleep(self.rng.choice([0.3, 1, 3]))
        self.send_signal(host, signal.SIGCONT)
        self.records.disturbances[host.name].remove((begin, float("inf")))
        self.disturb(host, begin)

    async def disturb_hosts(self):
        """Signals, stops and freezes that overlap; one host stays calm."""
        await asyncio.sleep(3)
        busy, calm = set(), self.rng.choice(self.fleet.hosts)
        while True:
            host = self.rng.choice(self.fleet.hosts)
            if host is not calm and host not in busy:
                busy.add(host)
                action = self.rng.choice([
                    self.kill, self.freeze,
                    lambda one: self.kill(one, signal.SIGTERM)])
                task = asyncio.ensure_future(action(host))
                task.add_done_callback(
                    lambda _, one=host: busy.discard(one))
            await asyncio.sleep(self.rng.uniform(0.3, 2))

    async def full_zone(self):
        """The callers' zone is full and the others reject every request."""
        self.caller_zones = [self.rng.choice(ZONES)]
        for target in self.targets.values():
            if target.zone not in self.caller_zones:
                target.is_shedding = True
            else:
                target.work = 0.07

    async def resets(self):
        for target in self.targets.values():
            target.reset_share = 0.4
        await self.kill_in_turn()

    async def kill_in_turn(self):
        await asyncio.sleep(2)
        while True:
            for host in self.fleet.hosts:
                await self.kill(host)
                await asyncio.sleep(0.8)

    async def moved_targets(self):
        """Addresses of targets that ended belong to targets of the other
        service, which reject what is not for them."""
        for one, other in (("map", "pay"), ("pay", "map")):
            mine = [t for t in self.targets.values() if t.service == one]
            self.rng.choice(mine).address_of = next(
                t for t in self.targets.values() if t.service == other).name
        await self.disturb_hosts()

    async def repeated_refusals(self):
        """Targets refuse requests and repeat answers. They also start again
        under another name at their address, and refuse what is for the former
        one, whose entry is listed for some seconds more."""
        for target in self.targets.values():
            target.refused_share = REFUSED_SHARE
            target.copied_share = COPIED_SHARE
            target.copied_success_share = COPIED_SUCCESS_SHARE
        asyncio.ensure_future(self.restart_targets())
        await self.disturb_hosts()

    async def restart_targets(self):
        for number in range(10**6):
            await asyncio.sleep(self.rng.uniform(*RESTART_PAUSE_SECONDS) *
                                RATE / self.rate)
            target = self.rng.choice(list(self.targets.values()))
            former = target.name
            target.restart(f"{target.address_of}.{number}")
            self.beat()
            asyncio.ensure_future(self.expire(former))

    async def expire(self, name):
        await asyncio.sleep(EXPIRY_SECONDS)
        await asyncio.to_thread(self.fleet.store.delete, "servers/" + name)

    async def leave(self, target, by_store):
        await asyncio.sleep(self.rng.uniform(3, 10))
        self.log(f"{target.name} leaves, by "
                 f"{'store' if by_store else 'its answers'}")
        target.is_leaving = True
        if by_store:
            target.state = "draining"
            self.sequence += 1
            at = await asyncio.to_thread(
                self.fleet.store.put, "servers/" + target.name,
                target.entry(self.sequence))
            self.records.leaving.append((target.name, at, "store"))
        await asyncio.sleep(self.rng.uniform(6, 9))
        target.is_registered = False
        target.close()
        await asyncio.to_thread(self.fleet.store.delete,
                                "servers/" + target.name)

    async def drains(self):
        """Targets leave, while the connections to the store go silent or the
        store turns hosts away."""
        self.fleet.store.lose_answers_on_open_connections()
        for host in self.fleet.hosts:
            if self.rng.random() < 0.3:
                host.store.turn_away()
                self.records.turned_away.add(host.name)
        for zone in ZONES:
            mine = [t for t in self.targets.values() if t.zone == zone]
            for target in self.rng.sample(mine, 2):
                asyncio.ensure_future(
                    self.leave(target, self.rng.random() < 0.6))

    async def leave_under_faults(self):
        asyncio.ensure_future(self.drains_without_store_faults())
        await self.disturb_hosts()

    async def drains_without_store_faults(self):
        for target in self.rng.sample(list(self.targets.values()), 4):
            asyncio.ensure_future(self.leave(target, self.rng.random() < 0.5))

    async def limits(self):
        for service in TARGETS_PER_ZONE:
            mine = [t for t in self.targets.values() if t.service == service]
            for target in self.rng.sample(mine, 2):
                target.limit = self.rng.choice([1, 3, 8])
        await self.disturb_hosts()

    async def endless_answers(self):
        """Answers without an end, to callers that don't read."""
        for target in self.targets.values():
            target.slots = 60
            if target.service == "map":
                target.endless = self.rng.choice([
                    b"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n\r\n",
                    b"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n"])
        await asyncio.gather(*(self.stall(index)
                               for index in range(STALLED_CALLERS)))

    async def stall(self, index):
        for number in range(10**6):
            host = self.rng.choice(self.fleet.hosts)
            reader, writer = await asyncio.open_connection(*host.front(),
                                                           limit=1024)
            writer.write(standins.make_request("GET", "/map/1",
                                               f"s{index}-{number}", 1500))
            await asyncio.sleep(self.rng.uniform(1, 3))
            writer.transport.abort()

    async def crowd(self):
        """Callers open several connections at once, each with a request right
        behind it, at hosts that have few descriptors."""
        for target in self.targets.values():
            target.slots = 60
            target.work = CROWD_WORK_SECONDS
        for number in range(10**6):
            host = self.rng.choice(self.fleet.hosts)
            for index in range(self.rng.randint(1, CROWD_BURST)):
                asyncio.ensure_future(
                    self.call_once(host, f"c{number}-{index}"))
            await asyncio.sleep(CROWD_PAUSE_SECONDS)

    async def call_once(self, host, name):
        """Sends one request on a connection of its own."""
        now = time.monotonic()
        deadline = DEADLINE_SECONDS["pay"]
        self.records.requests[name] = rules.Request(
            "pay", now, now + deadline, host.name, MAX_ATTEMPTS)
        request = standins.make_request("PUT", "/pay/1", name,
                                        int(deadline * 1000), b"amount=100")
        status = "no answer"
        try:
            reader, writer = await asyncio.open_connection(*host.front())
            try:
                status, headers, _ = await asyncio.wait_for(
                    exchange_on(reader, writer, request), deadline)
                if headers.get("connection") != "close":
                    await asyncio.sleep(CROWD_IDLE_SECONDS)
            finally:
                writer.transport.abort()
        except (OSError, EOFError, asyncio.TimeoutError, ValueError):
            pass
        self.note_outcome("pay", status, name)

    def check_memory(self, host):
        """Yields a problem if the host has used more memory than it may."""
        with open(f"/proc/{host.process.pid}/status",
                  encoding="ascii") as status:
            peak = next(int(line.split()[1]) / 1024 for line in status
                        if line.startswith("VmHWM"))
        self.peak = max(self.peak, peak)
        if peak > HOST_MEMORY_MB:
            yield f"{host.name} has used {peak:.0f} MB"

    async def end_connections(self):
        """Ends the tasks that serve connections to targets. If they were
        cancelled at exit, asyncio would report each of them."""
        while True:
            for target in self.targets.values():
                target.end_connections()
            await asyncio.sleep(END_STEP_SECONDS)
            if not any(target.writers for target in self.targets.values()):
                return

    async def play(self):
        await self.start()
        tasks = [asyncio.ensure_future(task) for task in (
            self.watch_lag(), self.keep_beating(),
            self.keep_resolving())]
        await asyncio.sleep(2)
        scenario = asyncio.ensure_future(SCENARIOS[self.scenario](self))
        tasks.append(scenario)
        await self.load()
        if scenario.done():
            scenario.result()
        for task in tasks:
            task.cancel()
        for host in self.fleet.hosts:
            # Hosts that ended by themselves: killed ones have been restarted.
            code = host.process.poll()
            if code not in (None, 0, -signal.SIGKILL):
                yield f"{host.name} ended with {code}"
            elif code is None:
                for problem in self.check_memory(host):
                    yield problem
        if (self.scenario in ("crowd", "repeated_refusals") and
                not self.outcomes.get(("pay", 503))):
            yield "no request was refused, so nothing was shown"
        if (self.scenario == "repeated_refusals" and
                not self.copies["broken off"]):
            yield "no copy of an answer broke off, so nothing was shown"
        for problem in rules.find_problems(self.records):
            yield problem


SCENARIOS = {"full_zone": Run.full_zone, "resets": Run.resets,
             "moved_targets": Run.moved_targets, "drains": Run.drains,
             "leave_under_faults": Run.leave_under_faults,
             "limits": Run.limits, "endless_answers": Run.endless_answers,
             "crowd": Run.crowd, "repeated_refusals": Run.repeated_refusals}


async def exchange_on(reader, writer, request):
    writer.write(request)
    line, headers = await read_head(reader)
    if "content-length" not in headers:
        raise ValueError("an answer without a length")
    body = await reader.readexactly(int(headers["content-length"]))
    return int(line.split()[1]), headers, body


async def exchange(address, request):
    reader, writer = await asyncio.open_connection(*address)
    try:
        return await exchange_on(reader, writer, request)
    finally:
        writer.close()


async def collect(run):
    try:
        return [problem async for problem in run.play()]
    finally:
        await run.end_connections()


def run_seed(seed, scenario, options):
    run = Run(seed, scenario, options.build, options.seconds, options.hosts,
              options.rate)
    try:
        problems = asyncio.run(collect(run))
    finally:
        run.fleet.stop()
        for host in run.fleet.hosts:
            host.store.close()
    for problem in problems:
        print(f"seed {seed}, {scenario}: {problem}", flush=True)
    print(f"seed {seed}, {scenario}: {len(problems)} problems, outcomes "
          f"{run.outcomes}, {run.connections} connections to targets, "
          f"copies {dict(run.copies)}, "
          f"{run.peak:.0f} MB at a host, record in {run.folder}", flush=True)
    return not problems


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seeds", default="1-6")
    parser.add_argument("--scenario", choices=SCENARIOS)
    parser.add_argument("--seconds", type=float, default=24)
    parser.add_argument("--hosts", type=int, default=HOSTS_PER_ZONE,
                        help="entry hosts in each of the three zones")
    parser.add_argument("--rate", type=float, default=RATE,
                        help="requests a second; targets start again more "
                        "often in proportion")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    is_good = True
    for seed in range(int(first), int(last or first) + 1):
        names = list(SCENARIOS)
        scenario = options.scenario or names[(seed - 1) % len(names)]
        is_good = run_seed(seed, scenario, options) and is_good
    sys.stdout.flush()
    # Threads of the stand-ins may still wait for their connections.
    os._exit(0 if is_good else 1)


if __name__ == "__main__":
    main()
