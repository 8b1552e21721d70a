"""The former location of `ternlane.policy.messages`. Using a name of it raises an error with the current location."""

from __future__ import annotations

from typing import NoReturn

# Names of version 0.2 and their names in `ternlane.policy.messages`; all other names are unchanged.
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
    current = _RENAMED.get(name, name)
    raise AttributeError(f"ternlane.port.{name} has moved to ternlane.policy.messages.{current} (docs/migration.md)")
