"""The platform's protocol, as one more way in and out: clients, model servers and discovery over HTTP/1.1.

`python -m ternlane.platform` is the gateway that deploy/balancer.toml runs; docs/platform.md says what maps to what.
"""
