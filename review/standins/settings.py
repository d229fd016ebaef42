"""The settings of a small deployment with the figures of reefline-fiji, and its listed servers."""

from __future__ import annotations

from typing import Any

ZONE = "edge-1"

CLASSES = [
    {
        "name": "clips",
        "idempotency": "safe",
        "aimMs": 500.0,
        "aimStretch": 2.0,
        "giveUpMs": 5000.0,
        "lateWorth": 0.15,
        "worth": 2.0,
    },
    {
        "name": "readings",
        "idempotency": "safe",
        "aimMs": 250.0,
        "aimStretch": 2.0,
        "giveUpMs": 2500.0,
        "lateWorth": 0.2,
        "worth": 1.0,
    },
    {
        "name": "alerts",
        "idempotency": "keyed",
        "group": "all",
        "memorySpanMs": 6000.0,
        "aimMs": 600.0,
        "giveUpMs": 3000.0,
        "lateWorth": 0.0,
        "worth": 3.0,
    },
]

ALLOWED = {
    "attemptsCap": 6,
    "cancel": True,
    "connIdleMs": 15000.0,
    "dialTimeoutMs": 400.0,
    "maxRetryAfterMs": 500.0,
    "maxStreams": 32,
    "probing": True,
    "retryAfter": True,
    "secondCopies": True,
}

SAFETY = {
    "answerSlackMs": 8.0,
    "coldMs": 16000.0,
    "drainGraceMs": 500.0,
    "fallMs": 1000.0,
    "fallMultiple": 3.0,
    "startCapacity": 0.17,
}

SPECIFICS = {
    "classFreshMs": [0.0, 20000.0, 0.0],
    "staleForMs": [0.0, 0.0, 0.0],
    "staleEarns": [0.7, 0.7, 0.7],
    "passOn": [False, False, True],
    "collapses": False,
    "hubByZone": [0, 1, 0, 1],
    "instancesByZone": [0, 0, 2, 1],
    "mayPassBy": True,
    "obeyAfterMs": 1000.0,
    "oneFlowKbPerS": 11500.0,
    "parentFloor": 0.066,
    "parentWarmsInMs": 20000.0,
    "pipeKbPerS": [0.0, 0.0, 129246.0, 139829.0],
    "purgeTakesMs": 6000.0,
    "rootKind": 3,
    "says": "none",
    "secondTierKind": 2,
    "siblings": "location",
    "upperFallMultiple": 2.0,
}

SETTINGS: dict[str, Any] = {
    "allowed": ALLOWED,
    "classes": CLASSES,
    "instances": 3,
    "machineTypes": ["small-box", "large-box", "parent", "origin"],
    "me": 0,
    "myZone": ZONE,
    "report": {"columns": ["inflight", "util", "x1"], "how": "probe"},
    "safety": SAFETY,
    "specifics": SPECIFICS,
    "weights": "rough",
    "zones": ["north-hub", "south-hub", ZONE, "edge-2"],
}

# Name, kind, zone and cell of each listed server.
SERVERS = (
    ("s-1", "small-box", ZONE, 1),
    ("s-2", "small-box", ZONE, 1),
    ("s-3", "large-box", ZONE, 2),
    ("s-4", "large-box", ZONE, 2),
    ("p-1", "parent", "north-hub", 0),
    ("p-2", "parent", "south-hub", 0),
    ("o-1", "origin", "north-hub", 0),
)
