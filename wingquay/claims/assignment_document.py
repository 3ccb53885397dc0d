"""The stored document that puts all takeovers of assignments into one order.

Each deployment has one document. A takeover writes it by compare-and-swap, so that it takes all
earlier takeovers into account. Voting does not read the document.
"""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..model.identifiers import DeploymentName, NodeId, ZoneName
from ..ports.peer_claims import AssignmentEpoch
from .keys import PARTITIONS

NO_NODE = NodeId("")

Epochs = Annotated[tuple[int, ...], Field(min_length=PARTITIONS, max_length=PARTITIONS)]
Takers = Annotated[tuple[NodeId, ...], Field(min_length=PARTITIONS, max_length=PARTITIONS)]


class ZoneAssignments(BaseModel):
    """The assignments of one zone, indexed by partition.

    ``epochs`` grows by one with every takeover and every change of the zones (0: never held);
    ``takers`` names the nodes that made the last takeovers, with ``NO_NODE`` where there was none.
    Handovers are not recorded, because they keep the claims.
    """

    model_config = ConfigDict(frozen=True, extra="ignore")

    epochs: Epochs
    takers: Takers


class AssignmentDocument(BaseModel):
    """All assignments of a deployment.

    Parameters
    ----------
    zones
        The zones whose majority decides, sorted.
    zones_revision
        The configuration revision that ``zones`` comes from.
    zones_unchanged
        Whether ``zones`` is the deployment's first list of zones. Only then is it certain that a
        zone without an entry has never granted a claim that still counts.
    previous_zones, previous_epochs
        The previous list of zones, and the newest epochs at the time it was replaced.
    assignments
        The assignments of each zone; zones that have never held any are missing.
    """

    model_config = ConfigDict(frozen=True, extra="ignore")

    zones: tuple[ZoneName, ...]
    zones_revision: int
    zones_unchanged: bool = True
    previous_zones: tuple[ZoneName, ...] = ()
    previous_epochs: dict[ZoneName, Epochs] = Field(default_factory=dict)
    assignments: dict[ZoneName, ZoneAssignments] = Field(default_factory=dict)

    def assignment_epochs(self, partition: int) -> tuple[AssignmentEpoch, ...]:
        """Return the epochs of one claim partition, ordered by zone."""
        return tuple(
            AssignmentEpoch(zone, assignments.epochs[partition])
            for zone, assignments in sorted(self.assignments.items())
        )

    def epoch(self, zone: ZoneName, partition: int) -> int:
        """Return the newest epoch of an assignment; 0 if it was never held."""
        assignments = self.assignments.get(zone)
        return 0 if assignments is None else assignments.epochs[partition]

    def taker(self, zone: ZoneName, partition: int) -> NodeId:
        """Return the node that began the newest epoch, or ``NO_NODE``."""
        assignments = self.assignments.get(zone)
        return NO_NODE if assignments is None else assignments.takers[partition]

    def is_vacant(self, zone: ZoneName, partition: int) -> bool:
        """Whether no node has taken the assignment over since the list of zones changed."""
        return not self.zones_unchanged and self.taker(zone, partition) == NO_NODE

    def is_first_epoch(self, zone: ZoneName, partition: int) -> bool:
        """Whether the newest epoch is the first one of a zone that had no holder before."""
        return self.zones_unchanged and self.epoch(zone, partition) == 1

    def with_first_holder(self, zone: ZoneName, taker: NodeId) -> "AssignmentDocument":
        """Return the document with ``taker`` as first holder of all assignments of ``zone``."""
        assignments = ZoneAssignments(epochs=(1,) * PARTITIONS, takers=(taker,) * PARTITIONS)
        return self._with_assignments(zone, assignments)

    def with_takeover(
        self,
        zone: ZoneName,
        new_epochs: dict[int, int],
        taker: NodeId,
    ) -> "AssignmentDocument":
        """Return the document with the new epochs, by claim partition, that ``taker`` begins."""
        epochs = [self.epoch(zone, partition) for partition in range(PARTITIONS)]
        takers = [self.taker(zone, partition) for partition in range(PARTITIONS)]
        for partition, epoch in new_epochs.items():
            epochs[partition] = epoch
            takers[partition] = taker
        return self._with_assignments(
            zone, ZoneAssignments(epochs=tuple(epochs), takers=tuple(takers))
        )

    def with_zones(self, zones: tuple[ZoneName, ...], revision: int) -> "AssignmentDocument":
        """Return the document for another list of zones.

        Every assignment ends and must be taken over again.
        """
        ended = {
            zone: ZoneAssignments(
                epochs=tuple(epoch + 1 for epoch in assignments.epochs),
                takers=(NO_NODE,) * PARTITIONS,
            )
            for zone, assignments in self.assignments.items()
        }
        return AssignmentDocument(
            zones=zones,
            zones_revision=revision,
            zones_unchanged=False,
            previous_zones=self.zones,
            previous_epochs={
                zone: assignments.epochs for zone, assignments in self.assignments.items()
            },
            assignments=ended,
        )

    def to_bytes(self) -> bytes:
        """Return the document as it is stored."""
        return self.model_dump_json().encode()

    def _with_assignments(
        self, zone: ZoneName, assignments: ZoneAssignments
    ) -> "AssignmentDocument":
        return self.model_copy(update={"assignments": {**self.assignments, zone: assignments}})


def document_key(deployment: DeploymentName) -> str:
    """Return the store key of a deployment's document."""
    return f"wingquay/claims/{deployment}/assignments"


def parse_document(value: bytes) -> AssignmentDocument | None:
    """Return the stored document, or ``None`` if it is malformed."""
    try:
        return AssignmentDocument.model_validate_json(value)
    except ValidationError:
        return None
