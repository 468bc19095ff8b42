"""Differences between two drafts, by the names of their routes, rules and teams."""

from __future__ import annotations

from typing import Any

import msgspec

MAX_LISTED_CHANGES = 20


def draft_changes(before: bytes, after: bytes) -> tuple[str, ...]:
    """Return a line for each difference: `+` (added), `-` (removed) or `~` (changed), and the name.

    At most `MAX_LISTED_CHANGES` differences are listed. A draft that can't be decoded is treated as empty.
    """
    old_parts, new_parts = _parts_by_name(before), _parts_by_name(after)
    changes = [
        f"{_sign(name, old_parts, new_parts)} {name}"
        for name in sorted(old_parts.keys() | new_parts.keys())
        if old_parts.get(name) != new_parts.get(name)
    ]
    unlisted = len(changes) - MAX_LISTED_CHANGES
    if unlisted > 0:
        return (*changes[:MAX_LISTED_CHANGES], f"and {unlisted} more")
    return tuple(changes)


def _sign(name: str, old_parts: dict[str, Any], new_parts: dict[str, Any]) -> str:
    if name not in old_parts:
        return "+"
    return "~" if name in new_parts else "-"


def _parts_by_name(draft: bytes) -> dict[str, Any]:
    try:
        root = msgspec.json.decode(draft)
    except (msgspec.MsgspecError, RecursionError):
        return {}
    if not isinstance(root, dict):
        return {}
    parts: dict[str, Any] = {"default": root.get("default")}
    for section in ("routes", "rules", "teams"):
        if isinstance(root.get(section), dict):
            parts |= {f"{section}.{name}": value for name, value in root[section].items()}
    return parts
