"""The configuration in force on this node: it only ever moves to a greater revision."""

from ..model.identifiers import Revision
from ..model.mechanisms import Mechanism
from ..ports.caller import SetReady
from ..ports.internal import ConfigurationInForce, Notify
from ..ports.machine import Action, Log, LogLevel
from .document import ConfigurationDocument, pack_body
from .node_view import NodeView

NO_REVISION = Revision(0)


class InForceConfiguration:
    """Keeps the highest confirmed revision that this node has seen."""

    def __init__(self, view: NodeView) -> None:
        self._view = view
        self.document: ConfigurationDocument | None = None
        self.since: float | None = None
        """When the revision came into force on this node (seconds of ``now``)."""
        self._packed: bytes | None = None

    @property
    def revision(self) -> Revision:
        """The revision in force; 0 if there is none yet."""
        return self.document.revision if self.document is not None else NO_REVISION

    def is_newer(self, revision: Revision) -> bool:
        """Whether ``revision`` may replace what is in force: only a greater one ever may."""
        if Mechanism.REVISION_MONOTONIC in self._view.disabled:
            return revision != self.revision
        return revision > self.revision

    def packed_body(self) -> bytes:
        """Return the document in force, compressed for peers."""
        assert self.document is not None
        if self._packed is None:
            self._packed = pack_body(self.document.body)
        return self._packed

    def apply(self, document: ConfigurationDocument, now: float, source: str) -> list[Action]:
        """Put ``document`` in force if it is newer than what is; else do nothing.

        Parameters
        ----------
        source
            Where it came from, for the log.
        """
        if not self.is_newer(document.revision):
            return self._compare(document)
        first = self.document is None
        self.document = document
        self.since = now
        self._packed = None
        fields = (("revision", int(document.revision)), ("source", source))
        actions: list[Action] = [
            Log("configuration_in_force", fields=fields),
            Notify(ConfigurationInForce(document.configuration)),
        ]
        if first and not self._view.leaving:
            actions.append(SetReady(True, "a configuration is in force"))
        return actions

    def _compare(self, document: ConfigurationDocument) -> list[Action]:
        """Report two documents of one revision: only a store set back by hand can do that."""
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
