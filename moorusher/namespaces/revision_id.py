"""Which revision of a customer's namespace it is."""

from __future__ import annotations

# Incarnation of a namespace, and number of the revision in it; the larger one is later. A namespace that is deleted and
# created again has a later incarnation, and nothing of the earlier one. A plain tuple, as it is sent.
RevisionId = tuple[int, int]
NO_REVISION: RevisionId = (0, 0)
