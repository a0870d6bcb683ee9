"""
Forwarding
~~~~~~~~~~

Forwards requests of callers, unchanged, to the targets that the platform
lists. Decisions are in modules without input or output: ``fleetview``,
``routing``, ``commitments``, ``placement``, ``admission``, ``retrybudget``
and ``targethealth``. The modules ``ingress``, ``dispatch``, ``storetasks``,
``peerexchange`` and ``hostdaemon`` hold sockets and tasks.
"""
