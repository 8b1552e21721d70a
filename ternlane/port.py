"""The former place of `ternlane.policy.messages`: using a name of it tells where that is now."""

from __future__ import annotations

from typing import NoReturn

# Names of version 0.2 -> their names in `ternlane.policy.messages`; all others are called as before.
_RENAMED = {
    "Altered": "ConfigChanged",
    "Arrived": "RequestArrived",
    "CallOff": "CancelAttempt",
    "Checked": "ProbeResult",
    "ClientLeft": "ClientDisconnected",
    "Ending": "ShutdownStarted",
    "FirstTok": "FirstToken",
    "Follow": "WatchEndpoints",
    "GoOn": "ResumeStream",
    "HoldAhead": "Reserve",
    "LegEnded": "AttemptEnded",
    "ListFailed": "EndpointListFailed",
    "Listed": "EndpointsUpdated",
    "Log": "Log",
    "PlaceHeld": "ReservationResult",
    "Probe": "Probe",
    "Release": "Release",
    "ReleaseHeard": "ReleaseConfirmed",
    "SendLeg": "StartAttempt",
    "Terminate": "Fail",
    "Throttle": "Reject",
    "Wake": "StartTimer",
    "Woken": "TimerFired",
    "Duty": "Role",
    "Life": "EndpointStatus",
    "Verdict": "AttemptOutcome",
    "Refusal": "RejectReason",
    "Product": "RequestClass",
    "Generation": "Request",
    "StartFacts": "RouterConfig",
}


def __getattr__(name: str) -> NoReturn:
    now = _RENAMED.get(name, name)
    raise AttributeError(f"ternlane.port.{name} is ternlane.policy.messages.{now} now (docs/migration.md)")
