#!/usr/bin/env python3
"""Randomized fault soak test: runs the programs as processes on loopback,
injects faults from outside and checks the results of callers and targets. The
seed determines the faults and their times.
Usage: soak.py [--build DIR] [--seeds A-B] [--fresh N]"""

import argparse
import http.client
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
# Goal of docs/design.md, section 1: a change is in force on all hosts within
# 16 s, even with a slow store and a third of the hosts just replaced.
CONVERGENCE_SECONDS = 16
# stop_bound of bench/end_to_end/cluster.py, plus a margin for scheduling.
STOP_SECONDS = 30 + 5
# Exit codes of docs/command-line.md.
EXIT_OK = 0
EXIT_OTHER_FAILURE = 8
START_ATTEMPTS = 3
# With --short-stops. Longer than the deadline, so that no call has to be cut.
SHORT_STOP = "2s"
SHORT_STOP_RATE = 30
SHORT_STOP_SERVICE_MS = 250
# Time after which an operator notices that the store has lost a change.
REWRITE_SECONDS = 0.5
# RULES of the users' platform (LIMIT): what a target gets in some 4 s, from 3 s
# after it first named its limit.
LIMIT_CONTACT_SECONDS = 3
LIMIT_WINDOW_SECONDS = 4
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# RULES of the users' platform (BUDGET): a request that crashes targets reaches
# them no more often than this, later than 3 s after it has crashed the third.
DEADLY_CRASHES = 3
DEADLY_RETRIES = 3
DEADLY_CONTACT_SECONDS = 3
OWNER_SAMPLE_SECONDS = 0.3


class SoakCluster(cluster.Cluster):
    """A cluster with proxies between hosts, platform and targets."""

    def __init__(self, build, proxies, rng):
        super().__init__(build, ZONES)
        self.proxies = proxies
        self.max_owners = rng.choice([0, 1])
        self.platform_proxy = None
        self.target_proxies = []

    def start_all(self):
        self.start_platform()
        self.platform_proxy = self.proxies.open(self.platform)
        for zone in self.zones:
            self.start_targets(zone, TARGETS_PER_ZONE)
        for target in self.targets:
            link = self.proxies.open(target["port"])
            self.target_proxies.append(link)
            target["port"] = link.port
        for index in range(HOSTS_PER_ZONE * len(self.zones)):
            self.start_host(f"entry-{index + 1}",
                            self.zones[index % len(self.zones)])
        self.replace_ports_in_use()
        self.publish_host_list()
        self.apply_next()
        self.wait_until(self.in_force, "the configuration in force")

    def replace_ports_in_use(self):
        """Restarts hosts whose chosen port was taken by another process."""
        for name, host in list(self.hosts.items()):
            for _ in range(START_ATTEMPTS):
                self.wait_until(
                    lambda host=name: self.status(host) is not None or
                    self.hosts[host]["process"].poll() is not None,
                    f"the start of {name}")
                if (self.hosts[name]["process"].poll() != EXIT_OTHER_FAILURE
                        or not self.has_port_conflict(name)):
                    break
                del self.hosts[name]
                self.start_host(name, host["zone"])

    def has_port_conflict(self, name):
        with open(self.path(name + ".log"), encoding="utf-8") as lines:
            return "cannot listen on" in lines.read().splitlines()[-1]

    def start_host(self, name, zone):
        direct_port, self.platform = self.platform, self.platform_proxy.port
        super().start_host(name, zone)
        self.platform = direct_port

    def document(self, change="first", deadline="2s"):
        document = super().document(change, deadline)
        document["max_owners_per_zone"] = self.max_owners
        return document

    def target_list(self):
        # The audit is unaffected by faults, also of a target that is down.
        return ",".join(f"{cluster.LOOPBACK}:{port}"
                        for port in self.control_ports)


class GenerationMonitor(threading.Thread):
    """Checks that the generation of a host process never decreases, and
    records which hosts own pools."""

    def __init__(self, running):
        super().__init__(daemon=True)
        self.running = running
        self.problems = []
        self.owners = []  # (time, host that owns a pool)
        self.is_stopped = threading.Event()

    def owners_at(self, when):
        return {name for at, name in self.owners
                if abs(at - when) < OWNER_SAMPLE_SECONDS}

    def run(self):
        newest = {}
        while not self.is_stopped.wait(0.1):
            for name, host in list(self.running.hosts.items()):
                status = self.running.status(name)
                if any(pool["owned"]
                       for pool in (status or {}).get("pools", [])):
                    self.owners.append((boot_time(), name))
                key = (name, host["process"].pid)
                generation = (status or {}).get("generation", 0)
                if generation and generation < newest.get(key, 0):
                    self.problems.append(
                        f"{name} went from generation {newest[key]} back to "
                        f"{generation}")
                newest[key] = max(newest.get(key, 0), generation)


def boot_time():
    """The clock of the emulators."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class DeadlyClient(threading.Thread):
    """Repeats one request that crashes each target, at random hosts."""

    def __init__(self, running, rng):
        super().__init__(daemon=True)
        self.running = running
        self.rng = rng
        self.method = rng.choice(["GET", "POST"])
        self.sent = 0
        self.refused = 0
        self.is_stopped = threading.Event()
        for port in running.control_ports:
            cluster.http("PUT", port, "/control/faults", {
                "deadly_path": "/deadly",
                "deadly_after_ms": rng.choice([0, 20]),
                "crash_time_ms": rng.choice([1000, 2000, 3000])})

    def run(self):
        while not self.is_stopped.wait(self.rng.uniform(0.05, 0.3)):
            name = self.rng.choice(list(self.running.hosts))
            port = self.running.hosts[name]["ports"]["callers"]
            connection = http.client.HTTPConnection(cluster.LOOPBACK, port,
                                                    timeout=1)
            try:
                # The request id names the host in the report of a failure.
                connection.request(self.method, "/deadly", headers={
                    "Host": "map", "X-Request-Id": name})
                self.sent += 1
                answer = connection.getresponse()
                outcome = answer.getheader("Hawthornspur-Outcome")
                self.refused += outcome == "not-run"
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()

    def check(self, start, faults, monitor):
        """Counts late runs, except those of a time at which all hosts that own
        a pool, one of which has sent the request, were out of touch."""
        self.is_stopped.set()
        self.join()
        runs, crashes = [], []
        for port in self.running.control_ports:
            record = cluster.http("GET", port, "/control/crashes")[1]
            runs += [(run["at_ms"] / 1000, run["request_id"])
                     for run in record["deadly_runs"]]
            crashes += [at / 1000 for at in record["crashes"]]
        late = []
        if len(crashes) >= DEADLY_CRASHES:
            deadline = (sorted(crashes)[DEADLY_CRASHES - 1]
                        + DEADLY_CONTACT_SECONDS)
            late = [run for run in sorted(runs) if run[0] > deadline]

        def is_excused(when):
            owners = monitor.owners_at(when)
            return owners and all(faults.is_out_of_touch(when, name)
                                  for name in owners)
        counted = [run for run in late if not is_excused(run[0])]
        log(start, f"deadly {self.method}: {self.sent} sent, {self.refused} "
            f"refused, {len(runs)} ran, {len(crashes)} crashes, {len(late)} "
            f"late runs, {len(counted)} of them counted")
        if len(counted) > DEADLY_RETRIES:
            zero = boot_time() - (time.monotonic() - start)
            faults.problems.append(
                f"a deadly request ran {len(counted)} times later than "
                f"{DEADLY_CONTACT_SECONDS} s after the third crash: "
                + ", ".join(f"{at - zero:.2f} s from {name}"
                            for at, name in counted))


def log(start, text):
    print(f"  {time.monotonic() - start:6.2f} s  {text}", flush=True)


class FaultInjector:
    """Chooses random faults, injects them and ends them after a while. Faults
    may overlap."""

    def __init__(self, running, rng, start, all_faults, short_stops):
        self.running = running
        self.short_stops = short_stops
        self.rng = rng
        self.start = start
        self.all_faults = all_faults
        self.is_restored = False
        self.limited_targets = set()
        self.scheduled = []  # (time, action)
        self.problems = []
        self.changes = 0
        self.disturbed_hosts = set()
        self.out_of_touch = []  # (host, begin, end)

    def is_out_of_touch(self, when, name):
        """Whether the host was, within the contact time before `when`."""
        return any(host == name and
                   begin <= when <= end + DEADLY_CONTACT_SECONDS
                   for host, begin, end in self.out_of_touch)

    def schedule(self, seconds, action):
        self.scheduled.append((time.monotonic() + seconds, action))

    def run_due_actions(self):
        now = time.monotonic()
        for entry in [item for item in self.scheduled if item[0] <= now]:
            self.scheduled.remove(entry)
            entry[1]()

    def end(self):
        while self.scheduled:
            self.run_due_actions()
            time.sleep(0.02)
        cluster.http("DELETE", self.running.platform, "/control/faults")

    def inject(self):
        faults = [
            self.kill, self.stop, self.pause, self.pause, self.link_delay,
            self.link_reset, self.link_block, self.link_silence, self.store,
            self.store, self.change, self.pause_target, self.burst]
        if self.all_faults:
            faults += [self.restore_store, self.restore_store, self.change,
                       self.limit_rate, self.limit_rate]
        if self.short_stops:
            faults += [self.stop] * 6
        self.rng.choice(faults)()

    def burst(self):
        for _ in range(self.rng.randint(2, 3)):
            self.rng.choice([self.kill, self.pause, self.link_reset,
                             self.stop])()

    def pick_host(self):
        undisturbed = [name for name in self.running.hosts
                       if name not in self.disturbed_hosts]
        # At least one host stays undisturbed to serve requests.
        return self.rng.choice(undisturbed) if len(undisturbed) > 1 else None

    def restart(self, name, began):
        host = self.running.hosts[name]
        host["process"].wait()
        self.running.start_host(name, host["zone"])
        self.out_of_touch.append((name, began, boot_time()))
        self.disturbed_hosts.discard(name)

    def kill(self):
        name = self.pick_host()
        if name:
            log(self.start, f"kill {name}")
            self.disturbed_hosts.add(name)
            self.running.hosts[name]["process"].kill()
            began = boot_time()
            self.schedule(self.rng.uniform(0.1, 2),
                          lambda: self.restart(name, began))

    def stop(self):
        name = self.pick_host()
        if not name:
            return
        log(self.start, f"planned stop of {name}")
        self.disturbed_hosts.add(name)
        process = self.running.hosts[name]["process"]
        process.terminate()
        begin = time.monotonic()

        def check():
            if process.poll() is None:
                if time.monotonic() - begin > STOP_SECONDS:
                    self.problems.append(
                        f"{name} did not stop within {STOP_SECONDS} s")
                    process.kill()
                self.schedule(0.1, check)
                return
            if process.returncode not in (EXIT_OK, -signal.SIGKILL):
                self.problems.append(
                    f"{name} stopped with exit status {process.returncode}")
            self.restart(name, boot_time())
        self.schedule(0.1, check)

    def pause(self):
        name = self.pick_host()
        if name:
            seconds = self.rng.choice([0.3, 1, 3])
            log(self.start, f"pause {name} for {seconds} s")
            self.disturbed_hosts.add(name)
            process = self.running.hosts[name]["process"]
            process.send_signal(signal.SIGSTOP)
            began = boot_time()

            def resume():
                process.send_signal(signal.SIGCONT)
                self.out_of_touch.append((name, began, boot_time()))
                self.disturbed_hosts.discard(name)
            self.schedule(seconds, resume)

    def pause_target(self):
        index = self.rng.randrange(len(self.running.targets))
        seconds = self.rng.choice([0.3, 1])
        log(self.start, f"target {index} is silent for {seconds} s")
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
        self.schedule(seconds, lambda: self.running.proxies.call(clear))

    def link_delay(self):
        delay = self.rng.choice([0.02, 0.2])
        log(self.start, f"a link is delayed by {delay} s")

        def change(fault):
            fault.delay = delay
        self.set_link(self.pick_link(), change, self.rng.uniform(0.5, 3))

    def link_reset(self):
        log(self.start, "connections of a link are reset")
        link = self.pick_link()
        self.running.proxies.call(link.reset_connections)

    def link_block(self):
        direction = self.rng.choice(["up", "down"])
        log(self.start, f"a link is blocked in one direction ({direction})")
        self.set_link(self.pick_link(),
                      lambda fault: fault.silent.add(direction),
                      self.rng.uniform(0.3, 3))

    def link_silence(self):
        log(self.start, "open connections of a link go silent permanently")
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
        self.schedule(self.rng.uniform(0.5, 4),
                   lambda: cluster.http("DELETE", port, "/control/faults"))

    def restore_store(self):
        """The store returns to a state since the start of the load, and the
        operator writes what it has lost again. No host may have read it."""
        age = self.rng.uniform(0, time.monotonic() - self.start)
        log(self.start, f"store: restored to its state of {age:.2f} s ago")
        cluster.http("PUT", self.running.platform, "/control/restore",
                     {"age_ms": int(age * 1000)})
        self.is_restored = True
        self.schedule(REWRITE_SECONDS, self.write_lost_change)

    def stored_generation(self):
        """The generation that the store holds, which a restore lowers; nothing
        if the store does not answer."""
        answer = cluster.http("GET", self.running.platform,
                              "/v1/kv/hawthornspur/head")[1]
        return answer and json.loads(answer["value"])["generation"]

    def write_lost_change(self):
        stored = self.stored_generation()
        if stored and stored < self.running.generation:
            self.change()
            stored = self.stored_generation()
        if not stored or stored < self.running.generation:
            self.schedule(REWRITE_SECONDS, self.write_lost_change)

    def limit_rate(self):
        """A target advertises a rate limit, and gets no more than it allows."""
        index = self.rng.randrange(len(self.running.control_ports))
        if index in self.limited_targets:
            return
        self.limited_targets.add(index)
        port = self.running.control_ports[index]
        limit = self.rng.choice([1, 3, 8])
        log(self.start, f"target {index} takes {limit} requests per second")
        cluster.http("PUT", port, "/control/faults",
                     {"advertise_rate_limit": True, "rate_limit": limit})

        def runs():
            return cluster.http("GET", port, "/control/counters")[1]["runs"]

        def check(before):
            allowed = (LIMIT_FACTOR * limit * LIMIT_WINDOW_SECONDS
                       + LIMIT_SLACK)
            ran = runs() - before
            log(self.start, f"target {index} ran {ran}, allowed {allowed}")
            if ran > allowed:
                self.problems.append(
                    f"target {index} ran {ran} requests in "
                    f"{LIMIT_WINDOW_SECONDS} s with a limit of {limit}")
            cluster.http("PUT", port, "/control/faults",
                         {"advertise_rate_limit": False})
            self.limited_targets.remove(index)

        def measure():
            before = runs()
            self.schedule(LIMIT_WINDOW_SECONDS, lambda: check(before))
        self.schedule(LIMIT_CONTACT_SECONDS, measure)

    def change(self):
        self.changes += 1
        base = self.running.generation
        if self.is_restored:
            base = self.stored_generation() or base
        outcome, generation = self.running.apply(
            self.running.document(f"change-{self.changes}"), base)
        log(self.start, f"change of the configuration: {outcome}")
        if outcome == "stored":
            self.running.generation = generation


def run_faults(rng, start, faults, deadly, monitor):
    end = start + LOAD_SECONDS
    next_fault = start + rng.uniform(0.2, 1)
    while time.monotonic() < end:
        faults.run_due_actions()
        if time.monotonic() >= next_fault:
            faults.inject()
            next_fault = time.monotonic() + rng.expovariate(1.2)
        time.sleep(0.02)
    if deadly:
        deadly.check(start, faults, monitor)
    faults.end()


def check_generation(running, problems):
    """All hosts converge on one generation, whether or not the last change was
    stored."""
    def is_converged():
        generations = {(running.status(name) or {}).get("generation")
                       for name in running.hosts}
        return len(generations) == 1 and None not in generations and (
            generations.pop() >= running.generation)
    try:
        running.wait_until(is_converged, "one configuration on all hosts",
                           CONVERGENCE_SECONDS)
    except RuntimeError as error:
        problems += [str(error), f"applied generation {running.generation}",
                     *describe_hosts(running)]


def describe_hosts(running):
    """Yields the status of each host, to report a failure."""
    for name, host in running.hosts.items():
        status = running.status(name) or {}
        yield (f"{name}: exit status {host['process'].poll()}, ready "
               f"{status.get('ready')}, generation {status.get('generation')}")


def find_cut_calls(running):
    """Yields the hosts whose planned stops cut calls."""
    for name in running.hosts:
        with open(running.path(name + ".log"), encoding="utf-8") as lines:
            if any("stop bound reached" in line and
                   '"calls_cut": "0"' not in line for line in lines):
                yield f"a planned stop of {name} cut calls"


def save_logs(running, seed, folder, problems):
    destination = os.path.join(folder, f"seed-{seed}")
    shutil.copytree(running.folder.name, destination, dirs_exist_ok=True)
    with open(os.path.join(destination, "problems.json"), "w",
              encoding="utf-8") as out:
        json.dump(problems, out, indent=1)
    for problem in problems:
        print(f"seed {seed}: {problem}", flush=True)


def run_seed(build, seed, keep, all_faults, short_stops):
    rng = random.Random(seed)
    print(f"seed {seed}", flush=True)
    with proxy.ProxyLoop() as proxies, SoakCluster(build, proxies,
                                                   rng) as running:
        if short_stops:
            running.stop_bound = SHORT_STOP
        try:
            running.start_all()
        except RuntimeError as error:
            save_logs(running, seed, keep, [
                f"start: {error}", *describe_hosts(running)])
            return False
        monitor = GenerationMonitor(running)
        monitor.start()
        plan = {"seed": seed,
                "kinds": cluster.kinds(
                    deadline_ms=DEADLINE_MS, once_share=0.5,
                    service_ms=SHORT_STOP_SERVICE_MS if short_stops else 10),
                "schedule": [{"duration_ms": LOAD_SECONDS * 1000,
                              "rate": SHORT_STOP_RATE if short_stops
                              else RATE}]}
        load = running.load(plan)
        start = time.monotonic()
        faults = FaultInjector(running, rng, start, all_faults, short_stops)
        deadly = None
        if all_faults and seed % 2:
            # Its own generator leaves the other faults of the seed as they are.
            deadly = DeadlyClient(running, random.Random(f"deadly {seed}"))
            deadly.start()
        run_faults(rng, start, faults, deadly, monitor)
        report, text = running.finish(load)
        check_generation(running, faults.problems)
        monitor.is_stopped.set()
        monitor.join()
        problems = faults.problems + monitor.problems
        if short_stops:
            problems += find_cut_calls(running)
        for name, host in running.hosts.items():
            if host["process"].poll() is not None:
                problems.append(
                    f"{name} exited unexpectedly with status "
                    f"{host['process'].returncode}")
        if cluster.violations(report):
            problems.append(f"invariants violated: {report['counts']} "
                            f"{report['audit']}")
        if report["counts"]["good"] == 0:
            problems.append("no call was served")
        cluster.print_figures(f"seed {seed}", report)
        if problems:
            print(text)
            save_logs(running, seed, keep, problems)
    return not problems


def read_seeds(arguments):
    if arguments.fresh:
        return [random.SystemRandom().randrange(1 << 31)
                for _ in range(arguments.fresh)]
    if arguments.seeds:
        first, _, last = arguments.seeds.partition("-")
        return list(range(int(first), int(last or first) + 1))
    name = "seeds.txt"
    if arguments.all_faults:
        name = "seeds-all-faults.txt"
    elif arguments.short_stops:
        name = "seeds-short-stops.txt"
    file = os.path.join(os.path.dirname(os.path.abspath(__file__)), name)
    with open(file, encoding="utf-8") as lines:
        return [int(line.split()[0]) for line in lines
                if line.strip() and not line.startswith("#")]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seeds",
                        help="range A-B; default: the seeds of seeds.txt, or "
                        "of seeds-all-faults.txt")
    parser.add_argument("--fresh", type=int, help="number of random seeds")
    parser.add_argument("--all-faults", action="store_true",
                        help="also restores of the store, rate limits of "
                        "targets, requests that crash targets; a seed "
                        "then plays another day")
    parser.add_argument("--short-stops", action="store_true",
                        help="many planned stops, little longer than the "
                        "calls, which they must not cut")
    parser.add_argument("--keep", default="soak-logs",
                        help="folder for the logs of failed seeds")
    arguments = parser.parse_args()
    seeds = read_seeds(arguments)
    failed = [seed for seed in seeds
              if not run_seed(arguments.build, seed, arguments.keep,
                              arguments.all_faults, arguments.short_stops)]
    print(f"{len(seeds)} seeds, failed: {failed or 'none'}")
    return 1 if failed else 0


sys.exit(main())
