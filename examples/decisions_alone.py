"""Calls the router directly: passes events and prints the attempts it starts. Uses no event loop and no sockets."""

import ternlane
from ternlane.policy import messages

request_class = ternlane.RequestClass(
    ternlane.Effect.IDEMPOTENT, ternlane.Group.ALL, 0.0, 500.0, 40.0, 60.0, 5000.0, 3.0, 0.1
)
router_config = ternlane.RouterConfig(
    seed=1,
    gateways=1,
    zone="hall",
    request_classes=(request_class,),
    max_attempts=5,
    may_cancel=True,
    may_reserve=False,
    may_probe=False,
    may_send_retry_after=True,
    must_subscribe=False,
    ask_within_ms=0.0,
    decode_servers_prefill=False,
    reports_mem=False,
    max_retry_after_ms=500.0,
    connect_ms=250.0,
    idle_ms=30e3,
    release_ms=500.0,
    drain_grace_ms=250.0,
    slow_start_ms=10e3,
    slow_start_share=0.3,
    fall_multiple=3.0,
    fall_ms=2000.0,
    step_ms=1.0,
)
names = {
    ternlane.Server("hall", cell, role, 200e3, hash_key=hash_key): f"{role.name.lower()}-{cell}"
    for hash_key, (cell, role) in enumerate(
        ((0, ternlane.Role.PREFILL), (0, ternlane.Role.DECODE), (1, ternlane.Role.PREFILL), (1, ternlane.Role.DECODE)),
        start=7,
    )
}
router = ternlane.Router(router_config)
router.take(0.0, [messages.EndpointsUpdated(tuple(names))])
request = ternlane.Request(request_class, "session-1", None, 0.0, 900.0, 200.0, 5000.0)


def started_attempt(actions: list) -> ternlane.Server:
    action = next(a for a in actions if isinstance(a, messages.StartAttempt))
    print(f"send to {names[action.server]} with a timeout of {action.timeout_ms:.0f} ms")
    return action.server


prefill_server = started_attempt(router.take(1.0, [messages.RequestArrived(request)]))
decode_server = started_attempt(
    router.take(60.0, [messages.AttemptEnded(request, prefill_server, ternlane.AttemptOutcome.PREFILLED, 59.0, False)])
)
retry_server = started_attempt(
    router.take(
        61.0, [messages.AttemptEnded(request, decode_server, ternlane.AttemptOutcome.CONNECT_FAILED, 1.0, False)]
    )
)
router.take(90.0, [messages.FirstToken(request, retry_server, 29.0)])
router.take(400.0, [messages.AttemptEnded(request, retry_server, ternlane.AttemptOutcome.STREAMED, 339.0, True)])
print(f"prefilled by {names[prefill_server]}, decoded by {names[retry_server]}")
