"""Judges what callers and targets saw on their sockets by the rules of the
users' platform (RULES.md): BUDGET, DRAIN, LIMIT, MIXED, REFUSED and TWICE."""

import bisect
import collections
import dataclasses

CONTACT_SECONDS = 3
DRAIN_SECONDS = 2
BUDGET_WINDOW_SECONDS = 10
BUDGET_RATIO = 0.2
# Smaller than on the platform, so that a leak shows early.
BUDGET_SLACK = 5
# Requests that may run at more targets than their route allows.
EXCESS_REQUESTS = 3
DEADLINE_TOLERANCE_SECONDS = 0.5
LATE_DEADLINES = 20
LATE_DEADLINE_SHARE = 0.2
LIMIT_WINDOW_SECONDS = 4
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# Answers that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
# Services whose requests may run once.
AT_MOST_ONCE_SERVICES = ("pay",)
# Time after which a host that passed on a limit keeps it.
LIMIT_DELAY_SECONDS = 0.5


@dataclasses.dataclass
class Request:
    """A request as its caller sent it."""
    service: str
    sent: float
    deadline: float  # the time at which the caller stops waiting
    host: str
    max_attempts: int


@dataclasses.dataclass
class Arrival:
    """A request as it reached a target."""
    at: float
    request: str
    service: str
    target: str
    host: str  # that sent it; empty if unknown
    deadline: float  # the time at which the target stops work
    ran: bool
    is_other_target: bool = False


class Records:
    """Everything that the sockets of one run have shown."""

    def __init__(self):
        self.requests = {}  # id: Request
        self.arrivals = []
        self.promised = set()  # ids of requests that were refused as not run
        # (id, target) of requests that came again on a connection on which they
        # had been refused, where a copy of the refusal may be due.
        self.returned = []
        # (id, headers, body) of successes that are not the answer to their
        # request.
        self.mixed = []
        # (target, time, "store" or host that passed the answer on)
        self.leaving = []
        self.limits = []  # (target, time, requests a second, host)
        self.limit_ends = {}  # target: time at which it ceases to name one
        self.ended_targets = set()
        self.disturbances = collections.defaultdict(list)  # host: (from, to)
        # Hosts without a path to the store. They are out of touch, but bound
        # by what targets say in answers.
        self.turned_away = set()

    def is_in_touch(self, host, when, before=CONTACT_SECONDS):
        return host not in self.turned_away and not any(
            begin <= when and when - before <= end
            for begin, end in self.disturbances[host])

    def was_disturbed_since(self, host, since, when):
        return any(begin <= when and end >= since
                   for begin, end in self.disturbances[host])


def count(times, begin, end):
    return bisect.bisect_right(times, end) - bisect.bisect_right(times, begin)


def check_budget_window(records):
    """Yields the worst window of each service that exceeds its budget."""
    requests = collections.defaultdict(list)
    for request in records.requests.values():
        requests[request.service].append(request.sent)
    repeats = collections.defaultdict(list)
    from_other_host = collections.Counter()
    senders = {}
    for arrival in sorted(records.arrivals, key=lambda item: item.at):
        if arrival.request in senders:
            repeats[arrival.service].append(arrival.at)
            from_other_host[arrival.service] += (
                senders[arrival.request] != arrival.host)
        senders[arrival.request] = arrival.host
    width = BUDGET_WINDOW_SECONDS
    for service, times in repeats.items():
        sent = sorted(requests[service])
        worst = None
        # The windows that begin or end with a repeat.
        for end in [at - 1e-9 + width for at in times] + times:
            repeated = count(times, end - width, end)
            allowed = BUDGET_SLACK + BUDGET_RATIO * max(
                count(sent, end - shift - width, end - shift)
                for shift in (0, width / 2, width))
            if worst is None or repeated - allowed > worst[0] - worst[1]:
                worst = (repeated, allowed, end)
        print(f"  repeats of {service}: {len(times)} for {len(sent)} requests, "
              f"{from_other_host[service]} from another host than the arrival "
              f"before, at worst {worst[0]} in a window that allows "
              f"{worst[1]:.0f}", flush=True)
        if worst[0] > worst[1]:
            yield (f"BUDGET: {worst[0]} repeats of {service} in a window that "
                   f"allows {worst[1]:.0f}, up to {worst[2]:.2f} s")


def check_attempts(records):
    attempts = collections.Counter(
        arrival.request for arrival in records.arrivals
        if arrival.target not in records.ended_targets)
    excess = [f"{request} {number}" for request, number in attempts.items()
              if request in records.requests and
              number > records.requests[request].max_attempts]
    if len(excess) > EXCESS_REQUESTS:
        yield (f"BUDGET: {len(excess)} requests reached more targets than "
               f"their route allows: {', '.join(excess[:8])}")


def check_time_left(records):
    first_end = {}
    late, repeated_late = [], 0
    for arrival in sorted(records.arrivals, key=lambda item: item.at):
        request = records.requests.get(arrival.request)
        if request is None or not records.is_in_touch(request.host, arrival.at):
            continue
        first = first_end.setdefault(arrival.request,
                                     (arrival.at, arrival.deadline))
        is_late_repeat = arrival.at > first[0] + DEADLINE_TOLERANCE_SECONDS
        repeated_late += is_late_repeat
        allowed = request.deadline
        if is_late_repeat:
            allowed = max(allowed, first[1])
        if arrival.deadline > allowed + DEADLINE_TOLERANCE_SECONDS:
            late.append(arrival)
    if len(late) > max(LATE_DEADLINES,
                       LATE_DEADLINE_SHARE * (len(late) + repeated_late)):
        yield f"BUDGET: {len(late)} arrivals with more time than was left"


def check_drain(records):
    """Requests that reach a target that said it leaves. A word in the store
    binds the hosts in touch, one in an answer the host that passed it on."""
    words = collections.defaultdict(list)
    for target, at, source in records.leaving:
        words[target].append((at, source))
    for arrival in records.arrivals:
        request = records.requests.get(arrival.request)
        if request is None or arrival.is_other_target:
            continue
        for at, source in words[arrival.target]:
            if request.sent <= at + DRAIN_SECONDS:
                continue
            if source == "store":
                is_excused = not all(
                    records.is_in_touch(host, when)
                    for host, when in ((request.host, request.sent),
                                       (arrival.host, arrival.at)))
            else:
                is_excused = (source != arrival.host or
                              records.was_disturbed_since(source, at,
                                                          arrival.at))
            if not is_excused:
                yield (f"DRAIN: {arrival.request} reached {arrival.target} "
                       f"from {arrival.host} {arrival.at - at:.2f} s after its "
                       f"word ({source}), sent {request.sent - at:.2f} s after")
                break


def check_limit(records):
    first = {}
    for target, at, limit, host in records.limits:
        heard = first.setdefault(target, (at, limit, {}))[2]
        heard.setdefault(host, at)
    for target, (named, limit, heard) in first.items():
        end = records.limit_ends.get(target, float("inf"))
        times = sorted(
            arrival.at for arrival in records.arrivals
            if arrival.target == target and
            named + CONTACT_SECONDS < arrival.at < end and
            arrival.host in heard and
            arrival.at >= heard[arrival.host] + LIMIT_DELAY_SECONDS and
            not records.was_disturbed_since(arrival.host, heard[arrival.host],
                                            arrival.at))
        allowed = LIMIT_FACTOR * limit * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
        worst = max((count(times, at - 1e-9, at + LIMIT_WINDOW_SECONDS)
                     for at in times), default=0)
        if worst > allowed:
            yield (f"LIMIT: {target} got {worst} requests in "
                   f"{LIMIT_WINDOW_SECONDS} s, {allowed:.0f} are allowed")


def check_promises(records):
    ran = {arrival.request for arrival in records.arrivals if arrival.ran}
    broken = sorted(records.promised & ran)
    if broken:
        yield (f"REFUSED: {len(broken)} of {len(records.promised)} requests "
               f"that were refused as not run have run: "
               f"{', '.join(broken[:8])}")


def check_twice(records):
    runs = collections.Counter(
        arrival.request for arrival in records.arrivals
        if arrival.ran and arrival.service in AT_MOST_ONCE_SERVICES)
    twice = sorted(request for request, number in runs.items() if number > 1)
    if twice:
        yield f"TWICE: {len(twice)} requests: {', '.join(twice[:8])}"


def check_returned(records):
    if records.returned:
        yield (f"REFUSED: {len(records.returned)} requests came again on the "
               f"connection that had refused them: "
               f"{', '.join(request for request, _ in records.returned[:8])}")


def check_mixed(records):
    if records.mixed:
        shown = "; ".join(f"{request} got {headers} {body!r}"
                          for request, headers, body in records.mixed[:8])
        yield (f"MIXED: {len(records.mixed)} successes are not the answer to "
               f"their request: {shown}")


def find_problems(records):
    """Yields the broken rules, each with the figures that show it."""
    for check in (check_budget_window, check_attempts, check_time_left,
                  check_drain, check_limit, check_promises, check_twice,
                  check_returned, check_mixed):
        yield from check(records)
