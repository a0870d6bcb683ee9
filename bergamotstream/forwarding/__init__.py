"""
Forwarding
~~~~~~~~~~

Forwards callers' requests, unchanged, to the targets that the platform lists.
Decisions are made in modules that do no input or output: ``fleetview``,
``routing``, ``commitments``, ``placement``, ``scheduler``, ``retrybudget``
and ``targethealth``. The modules ``ingress``, ``dispatch``, ``storetasks``,
``peerexchange`` and ``hostdaemon`` own sockets and tasks.
"""
