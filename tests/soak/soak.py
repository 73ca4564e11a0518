#!/usr/bin/env python3
"""Randomized fault soak: real programs as processes on loopback, with faults
from outside them. It checks what callers and targets see. Each seed fixes the
faults and their times. Usage: soak.py [--build DIR] [--seeds A-B] [--fresh N]"""

import argparse
import json
import os
import random
import shutil
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "..", "bench", "end_to_end"))
import cluster  # pylint: disable=wrong-import-position
import proxy  # pylint: disable=wrong-import-position

ZONES = ["a", "b"]
HOSTS_PER_ZONE = 3
TARGETS_PER_ZONE = 2
LOAD_SECONDS = 10
RATE = 120  # calls a second
DEADLINE_MS = 1500
# Section 1 of docs/design.md: a change is in force everywhere within 16 s, also
# with a slow store and a third of the hosts just replaced.
CONVERGENCE_SECONDS = 16
# The hosts' setting in bench/end_to_end/cluster.py, and time to be scheduled.
STOP_SECONDS = 30 + 5
# Exit codes of docs/command-line.md.
EXIT_OK = 0
EXIT_OTHER_FAILURE = 8
START_ATTEMPTS = 3


class SoakCluster(cluster.Cluster):
    """A cluster whose hosts reach platform and targets through proxies."""

    def __init__(self, build, proxies, rng):
        super().__init__(build, ZONES)
        self.proxies = proxies
        self.max_owners = rng.choice([0, 1])
        self.platform_proxy = None
        self.target_proxies = []
        self.direct_targets = []

    def start_all(self):
        self.start_platform()
        self.platform_proxy = self.proxies.open(self.platform)
        for zone in self.zones:
            self.start_targets(zone, TARGETS_PER_ZONE)
        for target in self.targets:
            self.direct_targets.append(target["port"])
            link = self.proxies.open(target["port"])
            self.target_proxies.append(link)
            target["port"] = link.port
        for index in range(HOSTS_PER_ZONE * len(self.zones)):
            self.start_host(f"entry-{index + 1}",
                            self.zones[index % len(self.zones)])
        self.replace_ports_in_use()
        self.list_hosts()
        self.apply_next()
        self.wait_until(self.in_force, "the configuration in force")

    def replace_ports_in_use(self):
        """A port that was free may be taken before its host opens it."""
        for name, host in list(self.hosts.items()):
            for _ in range(START_ATTEMPTS):
                self.wait_until(
                    lambda each=name: self.status(each) is not None or
                    self.hosts[each]["process"].poll() is not None,
                    f"the start of {name}")
                if (self.hosts[name]["process"].poll() != EXIT_OTHER_FAILURE
                        or not self.has_lost_port(name)):
                    break
                del self.hosts[name]
                self.start_host(name, host["zone"])

    def has_lost_port(self, name):
        with open(self.path(name + ".log"), encoding="utf-8") as lines:
            return "cannot listen on" in lines.read().splitlines()[-1]

    def start_host(self, name, zone):
        direct, self.platform = self.platform, self.platform_proxy.port
        super().start_host(name, zone)
        self.platform = direct

    def document(self, change="first", deadline="2s"):
        made = super().document(change, deadline)
        made["max_owners_per_zone"] = self.max_owners
        return made

    def target_list(self):
        # The audit asks the targets without the proxies' faults.
        return ",".join(f"{cluster.LOOPBACK}:{port}"
                        for port in self.direct_targets)


class Watch(threading.Thread):
    """Follows the generation of each host process, which must never fall."""

    def __init__(self, running):
        super().__init__(daemon=True)
        self.running = running
        self.problems = []
        self.is_over = threading.Event()

    def run(self):
        newest = {}
        while not self.is_over.wait(0.1):
            for name, host in list(self.running.hosts.items()):
                status = self.running.status(name)
                key = (name, host["process"].pid)
                generation = (status or {}).get("generation", 0)
                if generation and generation < newest.get(key, 0):
                    self.problems.append(
                        f"{name} went from generation {newest[key]} back to "
                        f"{generation}")
                newest[key] = max(newest.get(key, 0), generation)


def log(start, text):
    print(f"  {time.monotonic() - start:6.2f} s  {text}", flush=True)


class Faults:
    """Draws faults and carries them out; series may overlap."""

    def __init__(self, running, rng, start):
        self.running = running
        self.rng = rng
        self.start = start
        self.undo = []  # (time, action)
        self.problems = []
        self.changes = 0
        self.down = set()

    def later(self, seconds, action):
        self.undo.append((time.monotonic() + seconds, action))

    def step(self):
        now = time.monotonic()
        for entry in [each for each in self.undo if each[0] <= now]:
            self.undo.remove(entry)
            entry[1]()

    def end(self):
        while self.undo:
            self.step()
            time.sleep(0.02)
        cluster.http("DELETE", self.running.platform, "/control/faults")

    def inject(self):
        fault = self.rng.choice([
            self.kill, self.stop, self.pause, self.pause, self.link_delay,
            self.link_reset, self.link_cut, self.link_silent, self.store,
            self.store, self.change, self.pause_target, self.burst])
        fault()

    def burst(self):
        for _ in range(self.rng.randint(2, 3)):
            self.rng.choice([self.kill, self.pause, self.link_reset,
                             self.stop])()

    def pick_host(self):
        free = [name for name in self.running.hosts if name not in self.down]
        # One host of each deployment stays, so that some service goes on.
        return self.rng.choice(free) if len(free) > 1 else None

    def restart(self, name):
        host = self.running.hosts[name]
        host["process"].wait()
        self.running.start_host(name, host["zone"])
        self.down.discard(name)

    def kill(self):
        name = self.pick_host()
        if name:
            log(self.start, f"kill {name}")
            self.down.add(name)
            self.running.hosts[name]["process"].kill()
            self.later(self.rng.uniform(0.1, 2), lambda: self.restart(name))

    def stop(self):
        name = self.pick_host()
        if not name:
            return
        log(self.start, f"stop {name} as planned")
        self.down.add(name)
        process = self.running.hosts[name]["process"]
        process.terminate()
        begin = time.monotonic()

        def check():
            if process.poll() is None:
                if time.monotonic() - begin > STOP_SECONDS:
                    self.problems.append(f"{name} did not stop in time")
                    process.kill()
                self.later(0.1, check)
                return
            if process.returncode not in (EXIT_OK, -signal.SIGKILL):
                self.problems.append(
                    f"{name} ended its stop with {process.returncode}")
            self.restart(name)
        self.later(0.1, check)

    def pause(self):
        name = self.pick_host()
        if name:
            seconds = self.rng.choice([0.3, 1, 3])
            log(self.start, f"pause {name} for {seconds} s")
            self.down.add(name)
            process = self.running.hosts[name]["process"]
            process.send_signal(signal.SIGSTOP)

            def resume():
                process.send_signal(signal.SIGCONT)
                self.down.discard(name)
            self.later(seconds, resume)

    def pause_target(self):
        index = self.rng.randrange(len(self.running.targets))
        seconds = self.rng.choice([0.3, 1])
        log(self.start, f"target {index} stands still for {seconds} s")
        self.set_link(self.running.target_proxies[index],
                      lambda fault: fault.silent.update({"up", "down"}),
                      seconds)

    def pick_link(self):
        return self.rng.choice([self.running.platform_proxy,
                                *self.running.target_proxies])

    def set_link(self, link, change, seconds):
        def clear():
            link.fault = proxy.Fault()
        self.running.proxies.call(lambda: change(link.fault))
        self.later(seconds, lambda: self.running.proxies.call(clear))

    def link_delay(self):
        delay = self.rng.choice([0.02, 0.2])
        log(self.start, f"a link is slower by {delay} s")

        def change(fault):
            fault.delay = delay
        self.set_link(self.pick_link(), change, self.rng.uniform(0.5, 3))

    def link_reset(self):
        log(self.start, "connections of a link are reset")
        link = self.pick_link()
        self.running.proxies.call(link.reset_connections)

    def link_cut(self):
        direction = self.rng.choice(["up", "down"])
        log(self.start, f"a link is cut one way ({direction})")
        self.set_link(self.pick_link(),
                      lambda fault: fault.silent.add(direction),
                      self.rng.uniform(0.3, 3))

    def link_silent(self):
        log(self.start, "open connections of a link go silent for good")
        link = self.pick_link()
        self.running.proxies.call(link.silence_open_connections)

    def store(self):
        fault = self.rng.choice([
            {"outage": True}, {"silent": True}, {"lost_answers": 0.5},
            {"delay_ms": 300}, {"stale_reads_ms": 1000},
            {"silent_watches": True}, {"reads_per_second": 2}])
        log(self.start, f"store: {fault}")
        port = self.running.platform
        cluster.http("PUT", port, "/control/faults", fault)
        self.later(self.rng.uniform(0.5, 4),
                   lambda: cluster.http("DELETE", port, "/control/faults"))

    def change(self):
        self.changes += 1
        outcome, generation = self.running.apply(
            self.running.document(f"change-{self.changes}"),
            self.running.generation)
        log(self.start, f"change of the configuration: {outcome}")
        if outcome == "stored":
            self.running.generation = generation


def run_faults(running, rng, start, faults):
    end = start + LOAD_SECONDS
    next_fault = start + rng.uniform(0.2, 1)
    while time.monotonic() < end:
        faults.step()
        if time.monotonic() >= next_fault:
            faults.inject()
            next_fault = time.monotonic() + rng.expovariate(1.2)
        time.sleep(0.02)
    faults.end()


def check_generation(running, problems):
    """Whatever became of each change, the hosts agree on one."""
    def agree():
        generations = {(running.status(name) or {}).get("generation")
                       for name in running.hosts}
        return len(generations) == 1 and None not in generations and (
            generations.pop() >= running.generation)
    try:
        running.wait_until(agree, "one configuration everywhere",
                           CONVERGENCE_SECONDS)
    except RuntimeError as missed:
        problems.append(str(missed))


def describe_hosts(running):
    """What each host says of itself, for a start that did not succeed."""
    for name, host in running.hosts.items():
        status = running.status(name) or {}
        yield (f"{name}: ended with {host['process'].poll()}, ready "
               f"{status.get('ready')}, generation {status.get('generation')}")


def keep_logs(running, seed, keep, problems):
    kept = os.path.join(keep, f"seed-{seed}")
    shutil.copytree(running.folder.name, kept, dirs_exist_ok=True)
    with open(os.path.join(kept, "problems.json"), "w",
              encoding="utf-8") as out:
        json.dump(problems, out, indent=1)
    for problem in problems:
        print(f"seed {seed}: {problem}", flush=True)


def run_seed(build, seed, keep):
    rng = random.Random(seed)
    print(f"seed {seed}", flush=True)
    with proxy.ProxyLoop() as proxies, SoakCluster(build, proxies,
                                                   rng) as running:
        try:
            running.start_all()
        except RuntimeError as missed:
            keep_logs(running, seed, keep, [
                f"start: {missed}", *describe_hosts(running)])
            return False
        watch = Watch(running)
        watch.start()
        plan = {"seed": seed,
                "kinds": cluster.kinds(deadline_ms=DEADLINE_MS,
                                       once_share=0.5, service_ms=10),
                "schedule": [{"duration_ms": LOAD_SECONDS * 1000,
                              "rate": RATE}]}
        load = running.load(plan)
        start = time.monotonic()
        faults = Faults(running, rng, start)
        run_faults(running, rng, start, faults)
        report, text = running.finish(load)
        check_generation(running, faults.problems)
        watch.is_over.set()
        watch.join()
        problems = faults.problems + watch.problems
        for name, host in running.hosts.items():
            if host["process"].poll() is not None:
                problems.append(
                    f"{name} ended by itself: {host['process'].returncode}")
        if cluster.violations(report):
            problems.append(f"invariants violated: {report['counts']} "
                            f"{report['audit']}")
        if report["counts"]["good"] == 0:
            problems.append("no call was served")
        cluster.print_figures(f"seed {seed}", report)
        if problems:
            print(text)
            keep_logs(running, seed, keep, problems)
    return not problems


def read_seeds(arguments):
    if arguments.fresh:
        return [random.SystemRandom().randrange(1 << 31)
                for _ in range(arguments.fresh)]
    if arguments.seeds:
        first, _, last = arguments.seeds.partition("-")
        return list(range(int(first), int(last or first) + 1))
    # Seeds that failed once, each with a line on the cause.
    file = os.path.join(os.path.dirname(os.path.abspath(__file__)), "seeds.txt")
    with open(file, encoding="utf-8") as lines:
        return [int(line.split()[0]) for line in lines
                if line.strip() and not line.startswith("#")]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seeds", help="A-B; without it those of seeds.txt")
    parser.add_argument("--fresh", type=int, help="number of new seeds")
    parser.add_argument("--keep", default="soak-logs",
                        help="folder for the logs of failed seeds")
    arguments = parser.parse_args()
    seeds = read_seeds(arguments)
    failed = [seed for seed in seeds
              if not run_seed(arguments.build, seed, arguments.keep)]
    print(f"{len(seeds)} seeds, failed: {failed or 'none'}")
    return 1 if failed else 0


sys.exit(main())
