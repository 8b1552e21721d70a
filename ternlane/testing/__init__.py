"""Fakes of the systems around a gateway, written from public descriptions: engines, a registry, a front layer, clients.

Each logs the traffic at its sockets as JSON lines. ternlane.rules checks a run by these lines alone.
"""
