"""Targets begin to answer uploads before they have read them, and read on. Rule
LOST counts the kept connections that hosts close without a whole answer."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "kit-3"))
import standins  # pylint: disable=wrong-import-position

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CALM = 2.0  # seconds before and after the disruption
DISRUPTION = 6.0  # of the site file
EARLY_TARGETS = 0.7  # share of the targets
EARLY_ANSWERS = 0.4  # share of the answers of such a target
MEAN_BYTES, SPREAD, MOST_BYTES = 60000, 0.6, 360000
CLIENTS = 12
TARGETS_A_ZONE = 4
TIMEOUT_MS, DEADLINE_MS = 2000, 3000


class Uploads:
    def __init__(self):
        self.is_early_time = False
        self.random = random.Random(int(os.environ.get("SEED", "1")))
        self.early = {}  # request id: bytes of its body


class Target(standins.Target):
    """Reads each request to its end, and answers it whole."""

    uploads = None
    is_early = False
    arrived = 0
    answered_early = 0

    def answers_early(self):
        if not (self.uploads.is_early_time and self.is_early):
            return False
        self.arrived += 1
        if self.answered_early >= EARLY_ANSWERS * self.arrived:
            return False
        self.answered_early += 1
        return True

    async def serve(self, reader, writer):
        try:
            while True:
                await self.serve_request(reader, writer)
        except (OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def serve_request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        path = head.split(" ")[1]
        headers = {name.strip().lower(): value.strip() for name, _, value in
                   (line.partition(":") for line in head.split("\r\n")[1:])}
        words = [f"X-Instance-Id: {self.name}", self.load()]
        if path == "/health":
            writer.write(standins.make_answer("200 OK", words, b""))
            return
        request = headers["x-request-id"]
        size = int(headers["content-length"])
        if headers.get("x-target-instance", self.name) != self.name:
            await reader.readexactly(size)
            writer.write(standins.make_answer("421 Misdirected", words, b""))
            return
        self.runs.append((time.monotonic(), request, headers, size))
        self.running += 1
        try:
            is_early = self.answers_early()
            body = b"" if is_early else await reader.readexactly(size)
            lines = ["HTTP/1.1 200 OK", *words, f"X-Request-Id: {request}",
                     f"X-Server-Signature: sig.{request}",
                     "Transfer-Encoding: chunked"]
            writer.write("\r\n".join(lines).encode() +
                         b"\r\n\r\n9\r\naccepted,\r\n")
            await writer.drain()
            if is_early:
                self.uploads.early[request] = size
                self.world.record.write(f"{self.name} begins to answer "
                                        f"{request} of {size} bytes early")
                body = await reader.readexactly(size)
            await asyncio.sleep(self.work)
            text = f" {len(body)} bytes".encode()
            writer.write(f"{len(text):x}\r\n".encode() + text +
                         b"\r\n0\r\n\r\n")
            await writer.drain()
            self.done[request] = time.monotonic()
        finally:
            self.running -= 1


class Case:
    def __init__(self):
        self.world = standins.World(FOLDER)
        self.uploads = Uploads()
        self.outcomes = {}
        self.lost = []
        self.number = 0

    async def client(self, address, end):
        """Uploads one document after the other on a kept connection."""
        host, port = address.rsplit(":", 1)
        draw = self.uploads.random
        writer = None
        while time.monotonic() < end:
            if writer is None:
                reader, writer = await asyncio.open_connection(host, int(port))
            self.number += 1
            name = f"u{self.number}"
            size = min(MOST_BYTES,
                       int(MEAN_BYTES * draw.lognormvariate(0, SPREAD)))
            writer.write(standins.make_request("POST", "/docs/1", name,
                                               DEADLINE_MS, b"d" * size))
            sent = time.monotonic()
            try:
                outcome, headers, _ = await asyncio.wait_for(
                    standins.read_answer(reader), DEADLINE_MS / 1000)
                is_kept = headers.get("connection", "").lower() != "close"
            except (OSError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError) as problem:
                outcome, is_kept = type(problem).__name__, False
                self.note_end(name, outcome, size, time.monotonic() - sent)
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            if not is_kept:
                writer.close()
                writer = None

    def note_end(self, name, outcome, size, after):
        runs = any(run[1] == name for target in self.world.targets
                   for run in target.runs)
        is_early = name in self.uploads.early
        if outcome != "TimeoutError" and runs:
            self.lost.append(name)
        self.world.record.write(
            f"{name} of {size} bytes ends after {after:.2f} s without a whole "
            f"answer: {outcome}; reached a target: {runs}; begun early: "
            f"{is_early}")

    async def run(self):
        world, uploads = self.world, self.uploads
        targets = []
        for zone in world.zones:
            for index in range(TARGETS_A_ZONE):
                target = Target(world, f"i-docs-{zone}{index}", "docs", zone)
                target.uploads = uploads
                targets.append(target)
        count = int(EARLY_TARGETS * len(targets))
        for target in uploads.random.sample(targets, count):
            target.is_early = True
        document = standins.configuration(7, [
            standins.route("r-docs", "/docs/", "docs", "upload", TIMEOUT_MS,
                           target_latency_ms=2000),
            standins.service("docs")])
        if not await world.start(document, targets):
            world.record.write("the hosts did not become ready")
            return 2
        addresses = []
        for zone in world.zones:
            addresses += await world.resolve(world.hosts[0], zone)
        if not addresses:
            return 2
        end = time.monotonic() + 2 * CALM + DISRUPTION
        clients = [asyncio.ensure_future(
            self.client(addresses[number % len(addresses)], end))
            for number in range(CLIENTS)]
        await asyncio.sleep(CALM)
        uploads.is_early_time = TROUBLE
        await asyncio.sleep(DISRUPTION)
        uploads.is_early_time = False
        await asyncio.gather(*clients)
        world.record.write(f"{self.number} uploads, {len(uploads.early)} "
                           f"answered early; outcomes {self.outcomes}")
        world.record.write(f"kept connections that a host closed without a "
                           f"whole answer after it had passed the request on: "
                           f"{len(self.lost)}")
        if 200 not in self.outcomes:
            return 2
        is_broken = len(self.lost) > 3
        world.record.write("LOST was broken" if is_broken else "LOST held")
        return 1 if is_broken else 0


async def main():
    case = Case()
    code = 2
    try:
        code = await case.run()
    finally:
        case.world.end()
        os._exit(code)


asyncio.run(main())
