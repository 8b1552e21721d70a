"""Every routing decision, one concern a module.

`router.py` takes events and gives actions; `scheduler.py` takes a request from its arrival to its final answer, and
asks the rules of the other modules. Free of I/O, with no clock of its own, and without a host. `docs/design.md` lists
the rules and where they stand.
"""
