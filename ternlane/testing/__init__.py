"""Fakes of what a gateway meets: engines, a registry, a front layer, clients. Written from public descriptions.

Each writes what crosses its sockets as JSON lines; ternlane.rules judges a run by those lines alone.
"""
