"""Scenarios: runs of gateways, fake engines and fake clients under faults, from a document, judged by the rules."""
