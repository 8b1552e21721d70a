"""Scenarios: runs of gateways against fake engines and fake clients with injected faults, checked by the rules."""
