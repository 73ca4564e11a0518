"""Clients leave before their deadline by resetting their connections. Rule
GONE counts what upstreams still get and do for them."""

import asyncio
import os
import random
import socket
import struct
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import small_fleet as standins  # pylint: disable=wrong-import-position

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# "reset", or "fin" for a look at clients that leave without a reset.
LEAVE = os.environ.get("LEAVE", "reset")
SHARE = 0.3  # of the clients leave
LEAVE_AFTER = 0.2  # half of the objective of map-views, in seconds
RATE = 54.3  # map-views a second, of the sheet
ROUNDS = 10
DISRUPTION = 4.0  # of the site file, for this share
CALM = 1.0
WORK_MEAN, WORK_SPREAD, WORK_MOST = 0.14, 0.3, 1.4  # map-views, in seconds
WORK_TAIL, WORK_TAIL_X = 0.03, 7.0
GRACE = 0.5
FEW = 5


def processor_seconds(host):
    with open(f"/proc/{host.process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Target(standins.Target):
    """Works as long as the site file says of map-views."""

    works = None  # request id: seconds
    random = None

    async def do_work(self, request, reader):
        base = WORK_MEAN / (1 + WORK_TAIL * (WORK_TAIL_X - 1))
        work = base * self.random.lognormvariate(-WORK_SPREAD ** 2 / 2,
                                                 WORK_SPREAD)
        if self.random.random() < WORK_TAIL:
            work *= WORK_TAIL_X
        self.works[request] = min(WORK_MOST, work)
        begin = time.monotonic()
        while time.monotonic() < begin + self.works[request]:
            await asyncio.sleep(0.02)
            if reader.at_eof():
                self.dropped[request] = time.monotonic()
                raise ConnectionResetError
        self.done[request] = time.monotonic()


class Case:
    def __init__(self):
        self.world = standins.World(FOLDER)
        self.random = random.Random(int(os.environ.get("SEED", "1")))
        self.works = {}
        self.asked, self.leavers = 0, 0  # in disruptions
        self.left = {}  # request id: time
        self.statuses = {}
        self.addresses = []
        self.begin = 0.0

    def draw_leaver(self):
        """Whether this client leaves; never more than SHARE of them do."""
        turn = (time.monotonic() - self.begin) % (DISRUPTION + CALM)
        if not TROUBLE or turn > DISRUPTION - LEAVE_AFTER:
            return False
        self.asked += 1
        if (self.leavers + 1 > SHARE * self.asked or
                self.random.random() < SHARE):
            return False
        self.leavers += 1
        return True

    async def call(self, number):
        leaves = self.draw_leaver()
        name = f"q{number}"
        address = self.random.choice(self.addresses).rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(
                address[0], int(address[1]))
            writer.write(standins.make_request("GET", "/map/1", name, 3000))
            if not leaves:
                status, _, _ = await asyncio.wait_for(
                    standins.read_answer(reader), 3)
                self.statuses[status] = self.statuses.get(status, 0) + 1
                writer.close()
                return
            await asyncio.sleep(LEAVE_AFTER)
            if LEAVE == "reset":
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER,
                    struct.pack("ii", 1, 0))
            writer.transport.abort()
            self.left[name] = time.monotonic()
            self.world.record.write(f"{name} left {address[0]}")
        except (OSError, EOFError, asyncio.TimeoutError) as problem:
            key = type(problem).__name__
            self.statuses[key] = self.statuses.get(key, 0) + 1

    def judge(self):
        write = self.world.record.write
        runs, ends = {}, {}
        for target in self.world.targets:
            for begin, request, _, _ in target.runs:
                runs[request] = begin
                ends[request] = target.dropped.get(
                    request, target.done.get(request, begin))
        late = [name for name, at in self.left.items()
                if runs.get(name, 0) > at + GRACE]
        # Running when their client left, and with half a second to go.
        long = [name for name, at in self.left.items()
                if name in runs and runs[name] <= at and
                runs[name] + self.works.get(name, 0) > at + GRACE]
        still = [name for name in long
                 if ends[name] > self.left[name] + GRACE]
        write(f"clients left: {len(self.left)}; of their requests, reached an "
              f"upstream over half a second later: {len(late)}; at an "
              f"upstream whose work would have lasted so long: {len(long)}, "
              f"and was still done half a second later: {len(still)}")
        return len(late) > FEW or len(still) > len(long) / 4

    async def run(self):
        world = self.world
        targets = []
        for zone in world.zones:
            for index in range(2):
                target = Target(world, f"i-map-{zone}{index}", "map", zone)
                target.works, target.random = self.works, self.random
                targets.append(target)
        document = standins.configuration(7, [
            standins.route("r-map", "/map/", "map", "read_only", 1500),
            standins.service("map")])
        if not await world.start(document, targets):
            world.record.write("the hosts did not become ready")
            return 2
        for zone in world.zones:
            self.addresses = sorted(set(
                self.addresses + await world.resolve(world.hosts[0], zone)))
        world.record.write(f"addresses {self.addresses}")
        begin = self.begin = time.monotonic()
        before = {host.name: processor_seconds(host) for host in world.hosts}
        tasks, number = [], 0
        while time.monotonic() < begin + ROUNDS * (DISRUPTION + CALM):
            number += 1
            tasks.append(asyncio.ensure_future(self.call(number)))
            await asyncio.sleep(max(0, begin + number / RATE -
                                    time.monotonic()))
        await asyncio.wait(tasks, timeout=5)
        await asyncio.sleep(2)
        for host in world.hosts:
            used = processor_seconds(host) - before[host.name]
            world.record.write(f"{host.name} used {used:.2f} s of processor "
                               f"time in {time.monotonic() - begin:.1f} s")
        world.record.write(f"{number} requests, {self.asked} in disruptions; those whose clients stayed: "
                           f"{self.statuses}")
        if 200 not in self.statuses:
            return 2
        is_broken = self.judge()
        world.record.write("GONE was broken" if is_broken else "GONE held")
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
