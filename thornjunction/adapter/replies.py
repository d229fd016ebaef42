"""Replies to the simulator: one line for each action of a router."""

from __future__ import annotations

from thornjunction import interface as api

# Bit of the field ``how``: wait for a fill that is in progress.
HOW_COALESCE = 1

# Bit of the field ``how``: the source may serve only a copy from its cache.
HOW_CACHED_ONLY = 2

# Bit of the field ``how``: refresh an ageing copy in the background.
HOW_REFRESH = 8


def encode_action(instance_id: int, action: api.Action) -> str:
    """Return the reply line, without its end, for an action of an instance."""
    match action:
        case api.StartAttempt():
            return (
                f"OBTAIN who={instance_id} requestId={action.request_id} cache={action.server} "
                f"allowForMs={action.timeout_ms:.3f} missFrom={action.source} rank={action.retention_rank} "
                f"ageSpanMs={action.max_age_ms:.3f} how={_fetch_flags(action)}"
            )
        case api.CancelAttempt():
            return f"RECALL who={instance_id} requestId={action.request_id} roundNo={action.attempt_number}"
        case api.RejectRequest():
            request_id = action.request_id
            return f"PUSH_BACK who={instance_id} requestId={request_id} waitMs={action.retry_after_ms:.3f}"
        case api.FailRequest():
            return f"RESPOND_ERROR who={instance_id} requestId={action.request_id}"
        case api.SetTimer():
            return f"SCHEDULE who={instance_id} inMs={action.in_ms:.3f} cookie={action.token}"
        case api.CheckHealth():
            return f"SAMPLE who={instance_id} cache={action.server}"


def _fetch_flags(action: api.StartAttempt) -> int:
    flags = 0
    if action.coalesce:
        flags |= HOW_COALESCE
    if action.cached_only:
        flags |= HOW_CACHED_ONLY
    if action.refresh_in_background:
        flags |= HOW_REFRESH
    return flags
