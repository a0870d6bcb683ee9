"""
Measurements
~~~~~~~~~~~~

Measurements and scenarios in virtual time.
"""
