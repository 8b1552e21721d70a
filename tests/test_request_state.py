"""The phases of a request: all transitions in the table are possible, and no others."""

from __future__ import annotations

from itertools import product

import pytest

from ternlane.policy import messages
from ternlane.policy.messages import AttemptOutcome, Effect
from ternlane.policy.request_state import (
    TRANSITIONS,
    IllegalTransitionError,
    RequestPhase,
    RequestState,
    UnknownRequestError,
    state_of,
)
from tests.conftest import FakeHost, started_attempt


def state_in(host: FakeHost, phase: RequestPhase) -> RequestState:
    state = RequestState(host.request(), first_token_due=1000.0, deadline=5000.0)
    state.phase = phase
    return state


@pytest.mark.parametrize("before, after", list(product(RequestPhase, RequestPhase)))
def test_only_listed_transitions_are_possible(host: FakeHost, before: RequestPhase, after: RequestPhase) -> None:
    state = state_in(host, before)
    if after in TRANSITIONS[before]:
        state.move_to(after)
        assert state.phase is after
        return
    with pytest.raises(IllegalTransitionError) as raised:
        state.move_to(after)
    assert (raised.value.before, raised.value.after) == (before, after)
    assert state.phase is before


def test_every_phase_leads_to_the_final_one() -> None:
    assert TRANSITIONS.keys() == set(RequestPhase) and not TRANSITIONS[RequestPhase.DONE]
    reaching = {RequestPhase.DONE}
    for _ in RequestPhase:
        reaching |= {phase for phase, after in TRANSITIONS.items() if after & reaching}
    assert reaching == set(RequestPhase)


def test_served_request_passes_through_prefill_and_decode(host: FakeHost) -> None:
    request = host.request()
    prefill = started_attempt(host.arrive(request))
    state = state_of(request)
    phases = [state.phase]
    decode = started_attempt(host.end_attempt(request, prefill.server, AttemptOutcome.PREFILLED))
    phases.append(state.phase)
    host.first_token(request, decode.server)
    host.end_attempt(request, decode.server, AttemptOutcome.STREAMED, over=True)
    assert [*phases, state.phase] == [RequestPhase.PREFILLING, RequestPhase.DECODING, RequestPhase.DONE]


def test_client_disconnect_during_a_prefill_leaves_the_request_releasing(host: FakeHost) -> None:
    """A client disconnects during a prefill. The request is over for it, but the prefill may still leave a state at its
    server, which has to be released when the attempt has ended."""
    request = host.request()
    prefill = started_attempt(host.arrive(request))
    host.deliver(messages.ClientDisconnected(request))
    state = state_of(request)
    assert state.is_finished and state.phase is RequestPhase.RELEASING
    actions = host.end_attempt(request, prefill.server, AttemptOutcome.PREFILLED, over=True)
    assert messages.Release in [type(action) for action in actions]
    assert state.phase is RequestPhase.DONE


def test_failed_prefill_without_another_server_ends_the_request(host: FakeHost) -> None:
    """The prefill fails while the other prefill server is draining, so no server is left for the request."""
    request = host.request(client_timeout_ms=60e3)
    prefill = started_attempt(host.arrive(request))
    other = "r1" if prefill.server is host.servers["r0"] else "r0"
    host.update_endpoints(**{other: messages.EndpointStatus.DRAINING})
    actions = host.end_attempt(request, prefill.server, AttemptOutcome.CONNECT_FAILED)
    assert messages.Reject in [type(action) for action in actions]
    assert state_of(request).phase is RequestPhase.DONE


def test_possible_side_effect_ends_the_request(host: FakeHost) -> None:
    request, decode = host.start_decode(Effect.SIDE_EFFECTING)
    actions = host.end_attempt(request, decode.server, AttemptOutcome.RESET)
    assert messages.Fail in [type(action) for action in actions]
    assert state_of(request).phase is RequestPhase.DONE


def test_request_that_has_not_arrived_has_no_state(host: FakeHost) -> None:
    with pytest.raises(UnknownRequestError):
        state_of(host.request())
