"""Identifiers of the revisions of a customer's namespace."""

from __future__ import annotations

# Incarnation of the namespace and number of the revision within it; a larger tuple is a later revision. A namespace
# that is deleted and created again gets a larger incarnation and starts without revisions. The type is a plain tuple,
# because it is sent in messages.
RevisionId = tuple[int, int]
NO_REVISION: RevisionId = (0, 0)
