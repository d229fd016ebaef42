"""What the operators' door, and the relay's own poll, are told."""

from __future__ import annotations

from typing import TYPE_CHECKING

from control_relay.events import HandedUp, PurgeStanding, RouterStanding, Status
from control_relay.low_water_marks import Marks, Record
from control_relay.members import Routers, names_of

if TYPE_CHECKING:
    from control_relay.relay import Relay


def status(relay: Relay, now: float) -> Status:
    state, log = relay.state, relay.log
    cut_off = sum(relay.routers.cut_off(router, now) for router in relay.routers)
    return Status(
        ready=relay.ready,
        epoch=relay.epoch,
        head=log.told,
        done=relay.marks.done,
        age_ms=relay.age_ms(now) if relay.as_of > float("-inf") else None,
        seq=state.shelves.seq,
        shelfs=len(state.shelves),
        purges=len(state.purges),
        log_events=len(log),
        log_bytes=log.bytes,
        waiting=len(relay.waiting),
        present=len(relay.routers) - cut_off,
        cut_off=cut_off,
        forgotten=relay.routers.forgotten,
        faults=dict(state.faults),
    )


def purges(marks: Marks, routers: Routers) -> tuple[PurgeStanding, ...]:
    return tuple(_purge(record, routers) for record in marks.records)


def _purge(record: Record, routers: Routers) -> PurgeStanding:
    behind = routers.below(record.number) if record.done_since is None else ()
    count, names = names_of(behind)
    key, family = (record.what, -1) if isinstance(record.what, str) else (None, record.what)
    return PurgeStanding(
        record.number, key, family, record.when_ms, record.told_at, record.done_since, count, names
    )


def roster(relay: Relay, now: float) -> tuple[RouterStanding, ...]:
    rows = []
    for router in relay.routers.below(relay.log.told):
        state = "cut-off" if relay.routers.cut_off(router, now) else "lagging"
        since = min(now, relay.flushes.first_after(router.confirmed))
        rows.append(RouterStanding(router.name, router.role, state, since, router.weight, router.shown))
    return tuple(rows)


def handed_up(marks: Marks, routers: Routers, told: int) -> HandedUp:
    """Behind are those that have not confirmed more than what is done."""
    if marks.done >= told:
        return HandedUp(marks.upstream_done, 0, ())
    return HandedUp(marks.upstream_done, *names_of(routers.below(marks.done + 1)))
