"""
Platform
~~~~~~~~

Adapter to the users' platform: names of its protocol, formats and calls. Its
data is decoded here into the project's own types; this package makes no
decisions.
"""
