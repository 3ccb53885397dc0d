"""Selection of the replica that receives a forwarded request, based on the state of replicas.

Used by ``forwarding`` only; ``query`` and ``admission`` select replicas by ``routing``.
"""
