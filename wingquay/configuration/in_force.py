"""The configuration in force on this node; its revision only increases."""

from ..model.identifiers import Revision
from ..model.mechanisms import Mechanism
from ..ports.caller import SetReady
from ..ports.internal import ConfigurationInForce, Notify
from ..ports.machine import Action, Log, LogLevel
from .document import ConfigurationDocument, pack_body
from .node_view import NodeView

NO_REVISION = Revision(0)


class InForceConfiguration:
    """Holds the highest confirmed revision that this node has received."""

    def __init__(self, view: NodeView) -> None:
        self._view = view
        self.document: ConfigurationDocument | None = None
        self.since: float | None = None
        """Time at which the revision came into force on this node; ``None`` before the first."""
        self._packed: bytes | None = None

    @property
    def revision(self) -> Revision:
        """The revision in force; 0 if there is none yet."""
        return self.document.revision if self.document is not None else NO_REVISION

    def is_newer(self, revision: Revision) -> bool:
        """Whether ``revision`` may replace the one in force; only a greater one may."""
        if Mechanism.REVISION_MONOTONIC in self._view.disabled_mechanisms:
            return revision != self.revision
        return revision > self.revision

    def packed_body(self) -> bytes:
        """Return the document in force, compressed for peers."""
        assert self.document is not None
        if self._packed is None:
            self._packed = pack_body(self.document.body)
        return self._packed

    def apply(self, document: ConfigurationDocument, now: float, source: str) -> list[Action]:
        """Put ``document`` in force if it is newer; else only report conflicting documents.

        Parameters
        ----------
        source
            Origin of the document, for the log.
        """
        if not self.is_newer(document.revision):
            return self._report_fork(document)
        first = self.document is None
        self.document = document
        self.since = now
        self._packed = None
        fields = (("revision", int(document.revision)), ("source", source))
        actions: list[Action] = [
            Log("configuration_in_force", fields=fields),
            Notify(ConfigurationInForce(document.configuration)),
        ]
        if first and not self._view.is_stopping:
            actions.append(SetReady(True, "a configuration is in force"))
        return actions

    def _report_fork(self, document: ConfigurationDocument) -> list[Action]:
        """Report a different document of the same revision, left by a manual reset of the store."""
        present = self.document
        if present is None or document.revision != present.revision:
            return []
        if document.configuration.confirm_id == present.configuration.confirm_id:
            return []
        fields = (
            ("revision", int(document.revision)),
            ("confirm_id", present.configuration.confirm_id),
            ("other_confirm_id", document.configuration.confirm_id),
        )
        return [Log("configuration_forked", LogLevel.ERROR, fields)]
