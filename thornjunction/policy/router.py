"""All decisions of the router.  Settings, events and actions: thornjunction/interface.py.  Times are in ms.

The ordinary path follows Song et al., section 3: an edge cache by a hash of the object, one of two hashed
parents as source, and a rank by d1 (hits/s x fetch time / size) or d2 (hits/s), drawn with a moving chance.
"""

from __future__ import annotations

import math
import random

from thornjunction import interface as api
from thornjunction.estimates import Sizes, Usual
from thornjunction.limits.admission_gates import Gate
from thornjunction.limits.fault_attribution import BROKEN, has_room
from thornjunction.limits.idempotency import NEVER_RAN, Effects, start_ms, window_left
from thornjunction.limits.purges import Purges
from thornjunction.limits.retry_budget import Retries, wait_ms
from thornjunction.policy.attempts import MARGIN, Attempt, Gates, Job, Server
from thornjunction.policy.fill_ranking import KNOWN, Ranking
from thornjunction.policy.placement import Placement

FILLS_LATE, CALM = 0.8, 0.8  # of gates: below, fills are under strain; below, no copy is sent
TICK, HELD_TRIES, SECOND = 50.0, 10, 1000.0  # ms between looks, at so many held requests; between steps of w
LOOKS = 2  # at other caches for one request: a third finds little that two did not
ERRORS = 3  # after which the request is at fault
FLOW = 5.0  # KB a ms, where it is not told


class Router:
    """Decides for one front through one life; call ``handle`` with events in the order of their times."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.random, self.usual, self.sizes = random.Random(seed), dict[str, Usual](), Sizes()
        self.retries, self.effects, self.purges = Retries(settings.instances), Effects(), Purges()
        self.ranking = Ranking(self.random.random)
        self.places = Placement(settings, self.ranking.fetch, self.random.random)
        self.adopt(settings)
        self.jobs: dict[str, Job] = {}
        self.held: dict[str, Job] = {}  # those of them that wait for a cache that may take them
        self.timers: dict[int, Job] = {}
        self.flying: dict[tuple[str, int], Attempt] = {}
        self.gates, self.copies = Gates(), Gate(0.0)
        self.fills, self.behind = self.gates.fills, self.gates.behind
        self.now, self.next_token, self.asked = -math.inf, 0, 0.0

    def adopt(self, settings: api.Settings) -> None:
        """Go by these from now on; a request that is open keeps those that it came under."""
        self.settings, self.flow = settings, settings.flow_kb_per_ms or FLOW
        self.blind, self.purges.takes_ms = settings.notes is api.Notes.NONE, settings.purge_takes_ms
        self.retries.adopt(settings.instances)
        self.places.settings = settings
        self.places.cold.adopt(settings)
        self.classes = {kind.name: kind for kind in settings.classes}
        self.usual = {name: self.usual.get(name, Usual()) for name in self.classes}
        self.sizes.keep(self.classes)

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
                self.places.take(event, self.now)
            case api.Purged():
                self.purges.add(event, self.now)
            case api.Settings():
                self.adopt(event)
            case api.TimeUp() if event.request in self.jobs:
                self.give_up(self.jobs[event.request])
            case api.ClientGone() if event.request in self.jobs:
                self.close(self.jobs[event.request])
        return self.actions

    def on_request(self, event: api.Request) -> None:
        kind = self.classes.get(event.class_name)
        if kind is None or event.request in self.jobs:
            return None if kind is not None else self.actions.append(self.refusal(event.request))
        size, mean = self.sizes.take(kind.name, event.size_kb)
        job = self.jobs[event.request] = Job(event, kind, size / self.flow, mean / self.flow, self.now)
        job.weights, self.asked = self.sizes.weights(size, mean), self.asked + job.mean
        least = self.sizes.bound(kind.name, kind.aim_ms, self.settings.weighted)  # at cold servers
        job.mean, job.fill = max(job.mean, least), max(job.work, least)
        job.usual, job.most = self.usual[kind.name], self.settings.max_attempts
        self.retries.earn()
        job.miss = self.ranking.count(job.copy, self.now) < KNOWN and not kind.passes
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
        if event.status in NEVER_RAN:
            effect, out = attempt.job.effect, self.flying.values()
            other = next((one.ran for one in out if effect and one.job.effect == effect), None)
            self.effects.settle(effect, attempt.ran, other)
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
            if attempt.source is None or attempt.source.entry.role is not api.Role.EDGE or job.looks >= LOOKS:
                return self.give_up(job)
            job.tried.add(attempt.source.id)  # it never ran; another cache may hold it
            return self.dispatch(job)
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
            self.gates.judge(attempt, self.now - attempt.sent, api.Note.NONE, False, self.now, self.blind)
        for server in dict.fromkeys(attempt.server for attempt in self.flying.values()):
            self.watch(server)
        for job in [out.job for out in self.flying.values() if self.overdue(out)]:
            lets = self.copies.lets(self.now, self.random.random)
            if lets and (cache := self.places.cache(job, self.now)) is not None:
                self.send(job, cache, self.places.source(job, self.now))
        if self.now - self.stepped >= SECOND:
            asked = self.asked / (self.now - self.stepped)  # under strain clients' repeats swell it
            load = self.places.cold.load
            load.add(asked if self.fills.share >= 1 else min(asked, load.get(asked)))
            self.asked, self.stepped = 0.0, self.now
            self.ranking.step(min(self.fills.share, self.behind.share) < FILLS_LATE)

    def dispatch(self, job: Job) -> None:
        """Send the next attempt, or hold the request, or end it."""
        job.maybe = job.maybe or self.effects.ran.get(job.effect)  # another try of its client may have run
        spent = job.attempts >= job.most or (job.attempts > job.looks and not self.retries.any())
        spent = spent or not self.effects.may_note(job.effect, self.now)
        if self.now >= job.deadline or spent:
            return self.give_up(job)
        if job.wake > self.now:  # refused where no try is left that could still earn something
            return self.held.update({job.id: job}) if job.wake < job.useful else self.give_up(job)
        source = self.places.source(job, self.now)
        straight = job.kind.passes and self.settings.may_bypass and source is not None
        server = source if straight else self.places.cache(job, self.now)
        if server is None or not self.places.may_resend(job, server, self.now):
            waits = self.places.worth_waiting(job, self.now)
            return self.held.update({job.id: job}) if waits else self.give_up(job)
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
        self.retries.spend(job.attempts > job.looks)
        # To the end: fills that are called off are fetched again and feed a jam.  ``watch`` sees to silence.
        passes, left = job.kind.passes, job.deadline - self.now
        # Beyond the fills' gate a cache gives only what it holds, beyond the origin's a parent: they know
        # what one of many fronts cannot.  Misses are refused.  Harm: where the cause has just passed.
        held_only = not passes and (job.held or not self.behind.lets(self.now, self.random.random))
        fills = passes or self.fills.lets(self.now, self.random.random, *job.weights)
        if (held_only or not fills) and source is not None and self.places.no_parents(source):
            look = job.looks < LOOKS and (fills or has_room(server.busy, self.ranking.link.value))
            source = self.places.sibling(job, server, self.now) if look else None
            job.held = held_only = held_only or source is not None
            job.looks += source is not None
        elif not fills:
            source = None
        key, ran = (job.id, job.attempts), (self.now, server.entry)
        attempt = Attempt(server, source, self.now, job, key[1], ran, held_only=held_only)
        self.flying[key] = server.out[key] = attempt
        job.out.append(attempt)
        job.attempts += 1
        if job.effect:
            self.effects.ran.setdefault(job.effect, attempt.ran)
        for asked, work in ((server, job.mean), (source, job.fill)):
            if asked is not None:
                self.places.within_budget(asked, work, self.now, take=True)
        rank = 0 if passes else self.ranking.rank(job.copy, job.work, self.now)
        grace = job.kind.grace_ms if not passes and (held_only or source is None) else 0.0
        age = self.purges.max_age(job.event, job.kind.fresh_ms, self.now, grace)
        join, renew = self.settings.may_join and not passes, job.kind.fresh_ms > 0
        start = start_ms(self.settings, window_left(job.kind, job.maybe, self.now) - MARGIN)
        how = rank, age, join, renew, held_only, start
        self.actions.append(api.Fetch(job.id, server.id, left, (source or server).id, *how))

    def watch(self, server: Server) -> None:
        """Hung or cut off: attempts out and no answer at all.  Take it out and call them back.
        Harm: slow fills are called back early where nothing else answers; the retry budget bounds that."""
        if server.ejected_for or not server.silent(self.now):
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
            self.ranking.link.add(event.report.link)
        server.told(event.report)
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
        if event.size_kb > 0 and not job.event.size_kb > 0:
            self.sizes.add(job.kind.name, event.size_kb)
        server.heard = server.heard if refused or status is api.Status.TIMEOUT else self.now
        while good and job.faults:  # so the request can be used, and who answered with an error is to blame
            if (other := job.faults.pop()) is not server:
                other.record(False, self.now)
        if good and not attempt.overdue:
            job.usual.add(False)
        if event.note in (api.Note.FILLED_FROM_ORIGIN, api.Note.ORIGIN_FAILED):
            self.behind.answer(not good or event.took_ms > job.aim, self.now)
        if good or at_source:
            took = event.took_ms if good else math.inf
            self.gates.judge(attempt, took, event.note, True, self.now, self.blind)
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
        source.first_byte.add(wait)
        self.ranking.filled(job.copy, wait)

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
