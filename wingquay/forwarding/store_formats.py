"""How the keys and values of the store are read; whoever knows its formats provides it."""

from collections.abc import Callable
from enum import Enum

from ..model.failure import Failure
from ..model.replica_record import ReplicaRecord
from ..model.routing_table import RoutingTable
from ..model.value import value
from ..ports.crash_messages import HeldRequest
from ..ports.peer_link import NodeRecord


class FormatFailureKind(Enum):
    """Why a value of the store could not be read."""

    MALFORMED = "malformed"


@value
class StoreFormats:
    """How the store's keys and values are read.

    Parameters
    ----------
    configuration_key
        Holds the configuration in force.
    replica_prefix
        Keys of replica records begin with it; the rest is the replica's id.
    node_prefix
        Keys of nodes begin with it; the rest is the node's name.
    cluster_key
        Holds the secret that all nodes share.
    evacuation_prefix
        Keys of zones whose replicas must get nothing begin with it; the rest is the zone's name.
    parse_configuration, parse_replica
        Turn a value into its typed form.
    parse_node
        Turns the value of a node's key into its record; ``None``: it cannot be reached.
    node_value
        Returns the value of a node's key for its record.
    held_prefix
        Keys of requests that are held back begin with it; the rest is their identity, in hex.
    parse_held, held_value
        Turn the value of such a key into its typed form and back; ``None``: it is malformed.
    """

    configuration_key: str
    replica_prefix: str
    node_prefix: str
    cluster_key: str
    evacuation_prefix: str
    parse_configuration: Callable[[bytes], RoutingTable | Failure[FormatFailureKind]]
    parse_replica: Callable[[str, bytes], ReplicaRecord | Failure[FormatFailureKind]]
    parse_node: Callable[[bytes], NodeRecord | None]
    node_value: Callable[[NodeRecord], bytes]
    held_prefix: str
    parse_held: Callable[[bytes], HeldRequest | None]
    held_value: Callable[[HeldRequest], bytes]
