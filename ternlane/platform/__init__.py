"""The platform gateway: serves clients, model servers and discovery of the users' platform over HTTP/1.1.

`python -m ternlane.platform` is the gateway that deploy/balancer.toml runs; docs/platform.md maps the platform's
protocol to the router's terms.
"""
