"""
Demonstration
~~~~~~~~~~~~~

Separate processes on loopback with a seeded load.
"""
