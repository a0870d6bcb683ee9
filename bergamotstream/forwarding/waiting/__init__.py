"""
Waiting
~~~~~~~

What happens to requests while targets have too few places: the order in which
they wait (``order``), the shares of workspaces (``shares``), how fast waiting
requests drain (``drain``), and the waits themselves (``places``). Only
``places`` has tasks and timers; the other modules decide.
"""
