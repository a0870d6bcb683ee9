"""
Stand-ins
~~~~~~~~~

Small replacements of the platform's services for tests and demonstrations.
"""
