"""Distinct types for identifiers, so that the type checker detects mix-ups."""

from typing import NewType

NodeId = NewType("NodeId", str)
"""A wingquay process; a restarted process has a new id."""

ZoneName = NewType("ZoneName", str)
"""A failure domain within a deployment, such as ``cluj-a``."""

DeploymentName = NewType("DeploymentName", str)
"""A group of zones with low latency between them, such as ``ro-nord``."""

ServiceName = NewType("ServiceName", str)
"""A sharded back-end service, such as ``coverage-lookup``."""

ShardId = NewType("ShardId", str)
"""A shard; unique across the services of a configuration."""

ReplicaId = NewType("ReplicaId", str)
"""A back-end process that serves one shard; unique across a configuration."""

RequestKindName = NewType("RequestKindName", str)
"""A kind of request that a service accepts, such as ``outage-ping``."""

ClassName = NewType("ClassName", str)
"""A priority class."""

CallerName = NewType("CallerName", str)
"""An authenticated caller."""

OperatorName = NewType("OperatorName", str)
"""An authenticated operator."""

RequestId = NewType("RequestId", str)
"""A caller's request; unique across all nodes."""

SubRequestId = NewType("SubRequestId", str)
"""A part of a request, sent to one shard; unique across all nodes."""

AttemptId = NewType("AttemptId", str)
"""One attempt of a sub-request at one replica; unique across all nodes."""

SnapshotVersion = NewType("SnapshotVersion", int)
"""The version of an index; later versions have higher numbers."""

Revision = NewType("Revision", int)
"""The revision of the configuration, incremented by each confirmed plan."""
