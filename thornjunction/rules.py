"""All decisions of the router.  Settings, events and actions: thornjunction/interface.py.  Times are in ms.

The ordinary path follows Song et al., section 3: an edge cache by a hash of the object, one of two hashed
parents as source, and a rank by d1 (hits/s x fetch time / size) or d2 (hits/s), drawn with a moving chance.
"""

from __future__ import annotations

import math
import random
import zlib
from bisect import bisect_left, bisect_right, insort
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from thornjunction import interface as api
from thornjunction.estimates import Mean, Usual, mix
from thornjunction.limits.gates import Gate
from thornjunction.limits.retries import Retries, wait_ms

HALF_LIFE, KNOWN = 10_000.0, 0.5  # ms, of request counts (the design's); count that makes a copy likely there
COPIES, SCORES, PURGES = 8192, 512, 4096  # in tables at most; with more purges, everything counts as purged
EFFECTS, EFFECT_KEPT = 8192, 600_000.0  # keys of requests that may have run; ms for which they are known
TOP, BOTTOM = 2 / 3, 1 / 3  # places that part the ranks: three equal shares
W_START, W_STEP = 0.5, 0.05  # chance of d1 at the start, and its change a second: ten seconds to a limit
FAST_GAIN, SLOW_GAIN = 0.1, 0.01  # of a sample in means: the last ten, hundred
FILLS_LATE, LINK_FULL = 0.8, 0.85  # strain: fills' gate below, their link above
TICK, HELD_TRIES, SECOND = 50.0, 10, 1000.0  # ms between looks, at so many held requests; between steps of w
MARGIN = 6.0  # ms before the client's limit at which we answer: a few of a caller's ticks
EJECT_AFTER, EJECT_FIRST, EJECT_LAST = 5, 500.0, 4_000.0  # bad outcomes in a row; ms out
ERRORS, ONE_RESET = 3, 10.0  # errors after which the request is at fault; ms in which resets are one
CALM = 0.8  # of gates, below which no copy is sent
PULSE = 0.5  # of the aim: slower answers of what runs at the origin tell of its queue
SILENT, SILENT_OUT = 500.0, 2  # ms past the sending time without any answer, with so many attempts out
CHOICES = 2  # caches by hash that a new request may go to: hot objects get a second copy (paper, section 3)
PACE, BURST, LARGEST = 0.5, 0.2, 0.8  # of a cold server's budget: rate; saved up; one request at most
FLOW, MISS_SHARE, FAR = 5.0, 0.25, 2.0  # untold: KB a ms; parents' share of work; far first byte, times

NEVER_RAN = {api.Status.BUSY, api.Status.REFUSED, api.Status.SKIPPED, api.Status.MISS}
BROKEN = {api.Note.SOURCE_REFUSED, api.Note.SOURCE_BROKE, api.Note.ORIGIN_FAILED}  # the source's doing


class Placer:
    """Where a score stands among recent ones of its kind, as a rank."""

    def __init__(self) -> None:
        self.recent: deque[float] = deque()
        self.ordered: list[float] = []

    def rank(self, score: float) -> int:
        place = (bisect_left(self.ordered, score) + bisect_right(self.ordered, score)) / 2
        share = place / len(self.ordered) if self.ordered else 0.5
        self.recent.append(score)
        insort(self.ordered, score)
        if len(self.recent) > SCORES:
            del self.ordered[bisect_left(self.ordered, self.recent.popleft())]
        return 3 if share > TOP else 2 if share > BOTTOM else 1


class Server:
    """What this front knows of one cache, parent or origin."""

    def __init__(self, entry: api.ServerEntry, now: float) -> None:
        self.id, self.salt = entry.server, mix(zlib.crc32(entry.server.encode()))
        self.out: dict[tuple[str, int], Attempt] = {}
        self.entry, self.heard, self.ejected_for, self.down = entry, now, 0.0, False
        self.cold_since = entry.started_ms if entry.started_ms > 0 else -math.inf
        self.bad, self.first_byte, self.gate = 0, Mean(FAST_GAIN), Gate()
        self.tokens, self.tokens_at, self.ejected_until = math.inf, now, -math.inf
        self.reset_at = -math.inf

    def eject(self, now: float) -> None:
        self.ejected_for = min(max(EJECT_FIRST, 2 * self.ejected_for), EJECT_LAST)
        self.ejected_until = now + self.ejected_for

    def record(self, ok: bool, now: float, refused: bool = False) -> None:
        """Outlier ejection after failures in a row: who loses some answers holds its copies and stays.
        One refused connection is enough: hundreds of fronts that try on push over what comes back."""
        self.bad = 0 if ok else EJECT_AFTER if refused else self.bad + 1
        if self.ejected_for and ok:
            if self.down:  # its process was away: perhaps a new, cold one that is not listed yet
                self.cold_since, self.tokens = now, 0.0
            self.ejected_for = 0.0
        elif not ok and now >= self.ejected_until and (self.ejected_for or self.bad >= EJECT_AFTER):
            self.eject(now)

    def reset(self, now: float) -> None:
        """A connection that breaks takes all that is out on it along: one failure, however many were."""
        if now - self.reset_at > ONE_RESET:
            self.record(False, now)
        self.reset_at = now

    def open_to(self, now: float) -> bool:
        """In service, or out and due for one trial."""
        return not self.ejected_for or (now >= self.ejected_until and not self.out)


Ran = tuple[float, api.ServerEntry]  # when and where; all that is kept by key: a job takes 1 KB


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt that is out."""

    server: Server
    source: Server | None
    sent: float
    job: Job
    number: int
    ran: Ran
    late: bool = False  # counted as such
    overdue: bool = False
    held_only: bool = False  # its source gives only what it holds


class Job:  # a request that is owed an answer
    def __init__(self, event: api.Request, kind: api.RequestClass, work: float, mean: float, now: float):
        self.id, self.event, self.kind = event.request, event, kind
        self.work, self.mean, self.weight = work, mean, 1.0  # ms to send: own, class mean; share of mean
        self.aim = kind.aim_ms + kind.aim_stretch * work
        self.effect = event.idempotency_key if kind.safety is api.Safety.KEYED else ""
        self.copy = mix(mix(event.key) ^ event.part)  # each part is kept as a copy of its own
        self.deadline, self.attempts, self.miss = now + event.left_ms - MARGIN, 0, False
        self.out: list[Attempt] = []  # a second one is the copy of a first that takes too long
        self.maybe: Ran | None = None  # the first attempt that may have run
        self.usual, self.most = Usual(), 1  # of its class; attempts
        self.wake, self.useful = -math.inf, self.deadline if kind.late_worth else now + kind.aim_ms
        self.tried: set[str] = set()  # caches and sources that did not serve it
        self.faults: list[Server] = []  # who answered it with an error


class Router:
    """Decides for one front through one life; call ``handle`` with events in the order of their times."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.random, self.usual, self.sizes = random.Random(seed), dict[str, Usual](), dict[str, Mean]()
        self.retries = Retries(settings.instances)
        self.adopt(settings)
        self.servers: dict[str, Server] = {}
        self.by_role: dict[api.Role, list[Server]] = {role: [] for role in api.Role}  # edges: of this zone
        self.orders: dict[tuple[int, api.Role], list[Server]] = {}  # preferences, until the list changes
        self.most = dict.fromkeys(api.Role, 1)  # ever listed: who bears the load where none is away
        self.jobs: dict[str, Job] = {}
        self.held: dict[str, Job] = {}  # those of them that wait for a cache that may take them
        self.timers: dict[int, Job] = {}
        self.flying: dict[tuple[str, int], Attempt] = {}
        self.counts: dict[int, tuple[float, float, float]] = {}  # by copy: count, at, fetch time or -1
        self.fetch, self.link, self.size = Mean(FAST_GAIN), Mean(FAST_GAIN), Mean(SLOW_GAIN)
        self.load, self.by_cost, self.by_hits = Mean(FAST_GAIN), Placer(), Placer()  # load: ms asked, a ms
        self.fills, self.behind, self.copies = (
            Gate(),
            Gate(),
            Gate(0.0),
        )  # behind: parents' own from the origin
        self.purges: dict[tuple[str, int], float] = {}
        self.effects: dict[str, Ran] = {}  # by idempotency key: the first attempt that may have run
        self.now = self.purged_all = -math.inf
        self.w, self.next_token, self.asked = W_START, 0, 0.0

    def adopt(self, settings: api.Settings) -> None:
        """Go by these from now on; a request that is open keeps those that it came under."""
        self.settings, self.flow = settings, settings.flow_kb_per_ms or FLOW
        s, self.blind = settings, settings.notes is api.Notes.NONE
        edge = (s.cold_share, s.cold_ms, s.fall_multiple, s.zone_fronts.get(s.zone, s.instances), 1.0)
        parent = (s.parent_cold_share, s.parent_cold_ms, s.parent_fall_multiple, s.instances, MISS_SHARE)
        self.retries.adopt(s.instances)
        self.cold = {api.Role.EDGE: edge, api.Role.PARENT: parent, api.Role.ORIGIN: (1.0, 0.0, 0.0, 1, 0.0)}
        self.classes = {kind.name: kind for kind in settings.classes}
        self.usual = {name: self.usual.get(name, Usual()) for name in self.classes}
        self.sizes = {name: self.sizes.get(name, Mean(SLOW_GAIN)) for name in self.classes}

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Take in one event at its time; the actions to carry out, in order."""
        self.actions: list[api.Action] = []
        if self.now == -math.inf:
            self.now = self.stepped = now
            self.tick()
        self.now = max(now, self.now)  # a clock that steps back counts as standing still
        match event:
            case api.Request():
                self.on_request(event)
            case api.Outcome():
                self.on_outcome(event)
            case api.TimerFired(token=0):
                self.tick()
            case api.TimerFired():
                job = self.timers.pop(event.token, None)
                if job is not None and self.jobs.get(job.id) is job:
                    self.give_up(job)
            case api.Servers():
                self.on_servers(event)
            case api.Purged():
                self.on_purged(event)
            case api.Settings():
                self.adopt(event)
            case api.TimeUp() if event.request in self.jobs:
                self.give_up(self.jobs[event.request])
            case api.ClientGone() if event.request in self.jobs:
                self.close(self.jobs[event.request])
        return self.actions

    def on_servers(self, event: api.Servers) -> None:
        named, zone = {entry.server for entry in event.entries}, self.settings.zone
        if event.whole:
            self.servers = {name: server for name, server in self.servers.items() if name in named}
        for entry in event.entries:
            server = self.servers.get(entry.server)
            if entry.state is not api.State.SERVING:  # rule 3: at once, well within any grace
                self.servers.pop(entry.server, None)
            elif server is None or entry.started_ms != server.entry.started_ms:  # also a new process
                self.servers[entry.server] = Server(entry, self.now)
            else:
                server.entry = entry
        here = [s for s in self.servers.values() if s.entry.role is not api.Role.EDGE or s.entry.zone == zone]
        self.by_role = {role: [s for s in here if s.entry.role is role] for role in api.Role}
        self.orders.clear()
        self.most = {role: max(self.most[role], len(listed)) for role, listed in self.by_role.items()}

    def avoided(self, listed: Iterable[str]) -> int:
        """How many of these get nothing now: they leave, or are out after failures."""
        return sum(s is None or not s.open_to(self.now) for s in map(self.servers.get, listed))

    def on_purged(self, event: api.Purged) -> None:
        when = self.now - max(event.age_ms, 0.0)
        name = ("group", event.group) if event.key is None else ("key", event.key)
        self.purges[name] = max(when, self.purges.pop(name, when))
        if len(self.purges) > PURGES:
            self.purged_all = max(self.purged_all, self.purges.pop(next(iter(self.purges))))

    def on_request(self, event: api.Request) -> None:
        kind = self.classes.get(event.class_name)
        if kind is None or event.request in self.jobs:
            return None if kind is not None else self.actions.append(self.refusal(event.request))
        size = event.size_kb if 0 < event.size_kb < math.inf else self.sizes[kind.name].get(1.0)
        self.sizes[kind.name].add(size)
        self.size.add(size / self.flow)
        mean = self.sizes[kind.name].get(size) / self.flow
        job = self.jobs[event.request] = Job(event, kind, size / self.flow, mean, self.now)
        job.weight, self.asked = job.work / self.size.get(job.work), self.asked + job.mean
        job.usual, job.most = self.usual[kind.name], self.settings.max_attempts
        job.maybe = self.effects.get(job.effect)
        self.retries.earn()
        job.miss = self.count(job.copy) < KNOWN and not kind.passes
        self.next_token += 1
        self.timers[self.next_token] = job
        self.actions.append(api.SetTimer(max(job.deadline - self.now, 0.0), self.next_token))
        self.dispatch(job)

    def on_outcome(self, event: api.Outcome) -> None:
        attempt, job = self.flying.pop((event.request, event.attempt), None), self.jobs.get(event.request)
        if attempt is None:
            return
        attempt.server.out.pop((event.request, event.attempt), None)
        self.learn(event, attempt)
        self.settle(attempt, event.status)
        if job is None or attempt not in job.out:
            return
        job.out.remove(attempt)
        if job.out and event.final:  # copies pay where the first answer was lost, and not where all are slow
            self.copies.answer(attempt.number < job.out[0].number, self.now)
        if event.final or event.status is api.Status.DONE:
            return self.close(job)
        if job.out:  # its end decides
            return
        if event.status is api.Status.MISS and not job.kind.passes:  # no more was asked than what is held
            return self.give_up(job)
        job.maybe = job.maybe or (None if event.status in NEVER_RAN else attempt.ran)
        at_source, lost = event.note in BROKEN, event.status in (api.Status.RESET, api.Status.ERROR)
        if attempt.source is not None and (at_source or not lost or self.blind):
            job.tried.add(attempt.source.id)
        if not at_source and (not lost or attempt.server.ejected_for or attempt.server in job.faults[:-1]):
            job.tried.add(attempt.server.id)
        # Guards against one bad request that spends all its attempts: what nobody can use is at fault itself.
        if len(job.faults) >= ERRORS:
            return self.give_up(job)
        if event.status is api.Status.BUSY and (self.blind or job.kind.passes):  # at once, it is full still
            job.wake = self.now + wait_ms(job.kind.aim_ms, job.attempts, self.random.random)
        self.dispatch(job)

    def tick(self) -> None:
        self.actions.append(api.SetTimer(TICK, 0))
        due = [request for request, job in self.held.items() if job.wake <= self.now]
        for request in due[:HELD_TRIES]:  # who cannot go yet queues again: none blocks the rest
            self.dispatch(self.held.pop(request))
        for attempt in self.flying.values():
            self.judge(attempt, self.now - attempt.sent, api.Note.NONE, done=False)
        for server in dict.fromkeys(attempt.server for attempt in self.flying.values()):
            self.watch(server)
        for attempt in [out for out in self.flying.values() if self.overdue(out)]:
            if (
                self.copies.lets(self.now, self.random.random)
                and (cache := self.cache(attempt.job)) is not None
            ):
                self.send(attempt.job, cache, self.source(attempt.job))
        if self.now - self.stepped >= SECOND:
            asked = self.asked / (self.now - self.stepped)  # under strain clients' repeats swell it
            self.load.add(asked if self.fills.share >= 1 else min(asked, self.load.get(asked)))
            self.asked, self.stepped = 0.0, self.now
            self.step_w()

    def step_w(self) -> None:
        """Lean toward d1 when fills slow or fail, toward d2 when the link nears full."""
        strained = min(self.fills.share, self.behind.share) < FILLS_LATE
        if self.link.value is None and not strained:
            self.w = max(W_START, self.w - W_STEP)
        self.w = min(max(self.w + W_STEP * (strained - (self.link.get(0.0) > LINK_FULL)), 0.0), 1.0)

    def count(self, copy: int) -> float:
        count, at, fetch = self.counts.pop(copy, (0.0, self.now, -1.0))
        count *= math.exp2((at - self.now) / HALF_LIFE)
        self.counts[copy] = (count + 1.0, self.now, fetch)
        if len(self.counts) > COPIES:
            del self.counts[next(iter(self.counts))]
        return count

    def rank(self, job: Job) -> int:
        """The rank at which a fill is kept: where its score stands among recent ones of its kind."""
        count, _, fetch = self.counts.get(job.copy, (1.0, self.now, -1.0))
        if self.random.random() >= self.w:
            return self.by_hits.rank(count)
        return self.by_cost.rank(count * (self.fetch.get(1.0) if fetch < 0 else fetch) / job.work)

    def preference(self, copy: int, servers: list[Server]) -> list[Server]:
        """Rendezvous order, by weight where it is told: a server that leaves moves its own objects only."""
        known = self.orders.get((copy, servers[0].entry.role)) if servers else []
        if known is not None:
            return known

        def score(server: Server) -> float:
            share = ((mix(copy ^ server.salt) >> 11) + 0.5) / (1 << 53)
            return -(max(server.entry.weight, 1e-9) if self.settings.weighted else 1.0) / math.log(share)

        if len(self.orders) >= COPIES:
            del self.orders[next(iter(self.orders))]
        order = self.orders[copy, servers[0].entry.role] = sorted(servers, key=score, reverse=True)
        return order

    def first_byte(self, parent: Server) -> float:
        """Smoothed; where answers do not tell it, hits blur it, and distance counts too."""
        far = self.settings.zone_hub.get(self.settings.zone) != parent.entry.zone
        return parent.first_byte.get(self.fetch.get(1.0)) * (FAR if far and self.blind else 1.0)

    def source(self, job: Job) -> Server | None:
        """Of two parents the one with the lower first-byte time; where neither can, others or the origin."""
        origins = self.by_role[api.Role.ORIGIN]
        parents = self.preference(job.copy, [] if job.kind.passes else self.by_role[api.Role.PARENT])
        ordered = sorted(parents[:2], key=self.first_byte) + parents[2:]
        able = [s for s in ordered + origins if s.id not in job.tried and s.open_to(self.now)]
        return next((s for s in able if self.within_budget(s, job.work)), next(iter(origins), None))

    def cache(self, job: Job) -> Server | None:
        """The first by hash, bar cold ones past their budget, ejected or tried ones (unless all are) and
        those whose gate is shut.  Where both choices are shut, new ones are refused."""
        order = self.preference(job.copy, self.by_role[api.Role.EDGE])
        order = [s for s in order if self.may_resend(job, s) and self.within_budget(s, job.mean)]
        able = [s for s in order if s.open_to(self.now)] or [s for s in order if not s.down]
        able = [s for s in able if s.id not in job.tried] or able
        free = [s for s in able[:CHOICES] if s.gate.lets(self.now, self.random.random, job.weight)]
        return next(iter(free or (able if job.attempts > 0 or job.kind.passes else [])), None)

    def may_resend(self, job: Job, server: Server) -> bool:
        """Rule 2: what may have run is resent only where and while its repeat is discarded."""
        if job.maybe is None or job.kind.safety is api.Safety.SAFE:
            return True
        if job.kind.safety is api.Safety.UNSAFE or self.now >= job.maybe[0] + job.kind.memory_ms - MARGIN:
            return False
        here, there, group = job.maybe[1], server.entry, job.kind.group
        near = here.zone == there.zone if group is api.Group.ZONE else here.cell == there.cell
        return near or group is api.Group.ALL

    def may_note(self, job: Job) -> bool:
        """Rule 2 across a client's tries: what may have run is known by its key while a try may come.
        Where no room is left for a new key, nothing is sent."""
        while self.effects and self.now - next(iter(self.effects.values()))[0] > EFFECT_KEPT:
            del self.effects[next(iter(self.effects))]
        return not job.effect or job.effect in self.effects or len(self.effects) < EFFECTS

    def settle(self, attempt: Attempt, status: api.Status) -> None:
        """An attempt that proves it never ran leaves its key to another that is out, or to none."""
        effect = attempt.job.effect
        if status in NEVER_RAN and self.effects.get(effect) is attempt.ran:
            del self.effects[effect]
            if other := next((out for out in self.flying.values() if out.job.effect == effect), None):
                self.effects[effect] = other.ran

    def budget(self, server: Server) -> float:
        """Rule 4: sending time a ms that this front may ask of a cold server; infinite once it is warm."""
        share, warm_in, multiple, fronts, warm_load = self.cold[server.entry.role]
        age = max(self.now - server.cold_since, 0.0)
        if age >= warm_in:
            return math.inf
        capacity = server.entry.weight / max(fronts, 1)
        if not self.settings.weighted:  # what a warm one bears from this front alone
            capacity = self.load.get(0.0) * warm_load / self.most[server.entry.role]
        return PACE * multiple * (share + (1 - share) * age / warm_in) * capacity

    def within_budget(self, server: Server, work: float, take: bool = False) -> bool:
        """A bucket that fills at the budget; the budget binds in any window, so bursts are kept short."""
        rate = math.inf if server.cold_since == -math.inf else self.budget(server)  # spares the arithmetic
        if rate == math.inf:
            return True
        depth = BURST * rate * self.settings.fall_ms
        tokens = min(depth, server.tokens + rate * (self.now - server.tokens_at)) - work * take
        server.tokens, server.tokens_at = tokens, self.now
        return server.tokens >= min(work, depth) and work <= LARGEST * rate * self.settings.fall_ms

    def max_age(self, job: Job) -> float:
        """Rule 5: until all caches have dropped what was purged, only younger copies will do."""
        names = ("key", job.event.key), ("group", job.event.group)
        when = max(self.purged_all, *(self.purges.get(name, -math.inf) for name in names))
        if self.now > when + self.settings.purge_takes_ms:
            return 0.0
        bound = max(self.now - when - 1.0, 1.0)  # 1 ms: what the wire and the caches may round
        return min(bound, job.kind.fresh_ms) if job.kind.fresh_ms > 0 else bound

    def dispatch(self, job: Job) -> None:
        """Send the next attempt, or hold the request, or end it."""
        spent = job.attempts >= job.most or (job.attempts > 0 and not self.retries.any())
        spent = spent or not self.may_note(job)
        if self.now >= job.deadline or spent:
            return self.give_up(job)
        if job.wake > self.now:  # refused where no try is left that could still earn something
            return self.held.update({job.id: job}) if job.wake < job.useful else self.give_up(job)
        source = self.source(job)
        straight = job.kind.passes and self.settings.may_bypass and source is not None
        server = source if straight else self.cache(job)
        if server is None or not self.may_resend(job, server):
            caches = [cache for cache in self.by_role[api.Role.EDGE] if self.may_resend(job, cache)]
            if any(self.within_budget(s, job.mean) and not s.down for s in caches) or not caches:
                return self.give_up(job)
            return self.held.update({job.id: job})  # all are down, or cold and past a budget that will grow
        self.send(job, server, source)

    def overdue(self, attempt: Attempt) -> bool:
        """An answer that may be lost, as most of its class have come sooner: a copy is sent beside it.
        Harm: more work where all are slow; so few are sent, and none where a gate has begun to shut."""
        job, usual = attempt.job, attempt.job.usual
        alone = self.settings.may_copy and job.out == [attempt] and self.jobs.get(job.id) is job
        if not alone or job.kind.safety is not api.Safety.SAFE or not self.retries.any() or job.attempts > 1:
            return False
        if attempt.overdue or self.now - attempt.sent <= usual.share * job.aim:
            return False
        attempt.overdue = True
        usual.add(True)
        heard = attempt.server.heard > attempt.sent  # else the cache may be cut off: ``watch`` sees to it
        return heard and min(self.fills.share, self.behind.share, attempt.server.gate.share) >= CALM

    def send(self, job: Job, server: Server, source: Server | None) -> None:
        self.retries.spend(job.attempts > 0)
        # To the end: fills that are called off are fetched again and feed a jam.  ``watch`` sees to silence.
        passes, left = job.kind.passes, job.deadline - self.now
        # Beyond the fills' gate a cache gives only what it holds, beyond the origin's a parent: they know
        # what one of many fronts cannot.  Misses are refused.  Harm: where the cause has just passed.
        held_only = not passes and not self.behind.lets(self.now, self.random.random)
        source = source if passes or self.fills.lets(self.now, self.random.random, job.weight) else None
        key, ran = (job.id, job.attempts), (self.now, server.entry)
        attempt = Attempt(server, source, self.now, job, key[1], ran, held_only=held_only)
        self.flying[key] = server.out[key] = attempt
        job.out.append(attempt)
        job.attempts += 1
        if job.effect:
            self.effects.setdefault(job.effect, attempt.ran)
        for asked, work in ((server, job.mean), (source, job.work)):
            if asked is not None:
                self.within_budget(asked, work, take=True)
        rank, age, named = 0 if passes else self.rank(job), self.max_age(job), (source or server).id
        join, renew = self.settings.may_join and not passes, job.kind.fresh_ms > 0
        self.actions.append(api.Fetch(job.id, server.id, left, named, rank, age, join, renew, held_only))

    def watch(self, server: Server) -> None:
        """Hung or cut off: attempts out and no answer at all.  Take it out and call them back.
        Harm: slow fills are called back early where nothing else answers; the retry budget bounds that."""
        waits = [self.now - max(a.sent, server.heard) - 1.5 * a.job.work for a in server.out.values()]
        if server.ejected_for or sum(wait > SILENT for wait in waits) < SILENT_OUT:
            return
        server.eject(self.now)
        for (request, number), attempt in server.out.items():
            safe = request in self.jobs and attempt.job.kind.safety is api.Safety.SAFE
            if safe and self.settings.may_cancel and self.retries.any():
                self.actions.append(api.Cancel(request, number))

    def learn(self, event: api.Outcome, attempt: Attempt) -> None:
        """Who did well and who did not: the cache, or the source behind it."""
        server, source, status, job = attempt.server, attempt.source, event.status, attempt.job
        if server.entry.role is api.Role.EDGE and event.report is not None and event.report.link is not None:
            self.link.add(event.report.link)
        if status in (api.Status.CANCELLED, api.Status.SKIPPED):
            return
        at_source = event.note in BROKEN or (self.blind and status is api.Status.BUSY)
        refused = status is api.Status.REFUSED or (server.down and status is api.Status.TIMEOUT)
        if status is api.Status.ERROR and not at_source:
            job.faults.append(server)
        elif status is api.Status.RESET and not at_source:
            server.reset(self.now)
        elif status is not api.Status.BUSY:  # full is not ill: it only sends this request on
            server.record(status in (api.Status.DONE, api.Status.MISS) or at_source, self.now, refused)
        good, server.down = status is api.Status.DONE, refused
        server.heard = server.heard if refused or status is api.Status.TIMEOUT else self.now
        while good and job.faults:  # so the request can be used, and who answered with an error is to blame
            if (other := job.faults.pop()) is not server:
                other.record(False, self.now)
        if good and not attempt.overdue:
            job.usual.add(False)
        if event.note in (api.Note.FILLED_FROM_ORIGIN, api.Note.ORIGIN_FAILED):
            self.behind.answer(not good or event.took_ms > job.aim, self.now)
        if good or at_source:
            self.judge(attempt, event.took_ms if good else math.inf, event.note, done=True)
        filled = (self.blind and good and job.miss) or event.note in (
            api.Note.FILLED,
            api.Note.FILLED_FROM_ORIGIN,
        )
        if source is None or source is server or not (at_source or filled):
            return
        source.record(good, self.now)
        wait = event.source_wait_ms or max(event.took_ms - job.work * good, 0.0)
        if not good:  # a quick failure must not look like a quick source
            return source.first_byte.add(max(wait, source.first_byte.get(0.0)))
        for mean in (source.first_byte, self.fetch):
            mean.add(wait)
        if job.copy in self.counts:
            self.counts[job.copy] = (*self.counts[job.copy][:2], wait)

    def judge(self, attempt: Attempt, took: float, note: api.Note, done: bool) -> None:
        """In time or late, once for each attempt: late as soon as its aim has passed."""
        job = attempt.job
        late = took > job.aim * (PULSE if job.kind.passes else 1.0)
        if attempt.late or not (done or late):
            return
        attempt.late = True
        hit = not job.miss if note is api.Note.NONE else note is api.Note.HIT
        gate = attempt.server.gate if hit or attempt.source is None else self.fills
        # Where answers do not tell, the origin is among the suspects of each fill, unless only what its
        # parent holds was asked for; it is the one to blame for a refusal.
        if job.kind.passes or (self.blind and gate is self.fills and not attempt.held_only):
            self.behind.answer(late, self.now)
            if job.kind.passes or took == math.inf:
                return
        gate.answer(late, self.now)

    def close(self, job: Job) -> None:
        """Forget a request; an attempt that is still out is called off where that saves work."""
        del self.jobs[job.id]
        self.held.pop(job.id, None)
        for attempt in job.out if self.settings.may_cancel else ():
            self.actions.append(api.Cancel(job.id, attempt.number))

    def give_up(self, job: Job) -> None:
        """The final answer where nothing served: a refusal only if a repeat can do no harm."""
        harmless = job.kind.safety is api.Safety.SAFE or (not job.out and job.maybe is None)
        self.close(job)
        self.actions.append(self.refusal(job.id) if harmless else api.Fail(job.id))

    def refusal(self, request: str) -> api.Refuse:
        """What refuses now refuses in a moment too: the client is asked to stay away as long as it will."""
        return api.Refuse(request, self.settings.max_wait_advice_ms * self.settings.may_advise_wait)
