"""Decisions, one job a module: what ternlane/policy/router.py is being split into. Free of I/O; no clock of its own."""
