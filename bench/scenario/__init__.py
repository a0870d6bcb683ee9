"""
Scenarios
~~~~~~~~~

A small language for scripted failures; see docs/scenarios.md.
"""
