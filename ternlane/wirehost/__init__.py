"""Adapter between the router and the simulator's text protocol, with one router for each simulated gateway."""
