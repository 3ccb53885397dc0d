"""Names of things, as distinct types, so that one cannot be passed for another."""

from typing import NewType

NodeId = NewType("NodeId", str)
"""A wingquay process; unique for each start of it (a restarted process has a new id)."""

ZoneName = NewType("ZoneName", str)
"""A failure domain inside a deployment, such as ``cluj-a``."""

DeploymentName = NewType("DeploymentName", str)
"""A group of zones that are close to each other, such as ``ro-nord``."""

ServiceName = NewType("ServiceName", str)
"""A sharded back-end service, such as ``coverage-lookup``."""

ShardId = NewType("ShardId", str)
"""A shard; unique across the services of a configuration."""

ReplicaId = NewType("ReplicaId", str)
"""A back-end process that serves one shard; unique across a configuration."""

RequestKindName = NewType("RequestKindName", str)
"""A kind of request that a service serves, such as ``outage-ping``."""

ClassName = NewType("ClassName", str)
"""A priority class."""

CallerName = NewType("CallerName", str)
"""An authenticated caller."""

OperatorName = NewType("OperatorName", str)
"""An authenticated operator."""

RequestId = NewType("RequestId", str)
"""One caller request; unique across all nodes."""

SubRequestId = NewType("SubRequestId", str)
"""One piece of a request, addressed to one shard; unique across all nodes."""

AttemptId = NewType("AttemptId", str)
"""One exchange with a replica on behalf of a sub-request; unique across all nodes."""

SnapshotVersion = NewType("SnapshotVersion", int)
"""The version of an index; later versions are greater."""

Revision = NewType("Revision", int)
"""The revision of the configuration; each confirmed plan makes the next one."""
