"""
Platform
~~~~~~~~

The adapter to the users' platform: names on the wire, formats and calls.
Everything is decoded here into the project's own types; no decision is made
in this package.
"""
