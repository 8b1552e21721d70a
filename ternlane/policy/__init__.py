"""The routing decisions; each module holds one concern.

`router.py` turns events into actions. `scheduler.py` handles every event and passes those of single requests to
`request_flow.py`, which takes a request from its arrival to its final answer and consults the rules in the other
modules. The package does no I/O, reads no clock and depends on no host. `docs/design.md` lists the rules and the
modules that implement them.
"""
