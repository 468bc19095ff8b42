"""JSON documents of maintenance in the administration API. Their keys are part of the API."""

from __future__ import annotations

from typing import Any

from ..cluster_transport.maintenance import MaintenanceStatus
from ..maintenance.schedule import (
    CompletionProof,
    HistoryEntry,
    MaintenanceRequest,
    Slot,
    SlotOutcome,
    SlotStage,
)
from ..time_units import MS

MAX_SHOWN_HISTORY = 16


def status_document(status: MaintenanceStatus) -> dict[str, Any]:
    """Return the JSON document of a schedule."""
    schedule = status.schedule
    policy = status.policy
    return {
        "seat": status.seat,
        "number": schedule.revision,
        "hold": schedule.pause_reason,
        "current": status.is_current,
        "age_ms": None if status.age_us is None else status.age_us / MS,
        "limits": {
            "most": policy.max_out,
            "most_zone": policy.max_out_per_zone,
            "most_group": policy.max_out_per_group,
        },
        "asks": [_request_document(request) for request in schedule.requests],
        "turns": [_slot_document(slot, status) for slot in schedule.slots],
        "order": [_queued_document(request, seat, status) for request, seat in status.step.order],
        "ended": [_history_document(entry, status.now_s) for entry in schedule.history[-MAX_SHOWN_HISTORY:]],
    }


def _request_document(request: MaintenanceRequest) -> dict[str, Any]:
    return {
        "id": request.id,
        "reason": request.reason,
        "by": request.requested_by,
        "lasts_s": request.duration_s,
        "due_s": request.due_at_s,
        "priority": request.priority,
        "waiting": len(request.queued),
        "done": request.completed,
        "ends": CompletionProof(request.completion).api_name,
        "held": [{"seat": seat, "why": reason} for seat, reason in request.suspended],
    }


def _slot_document(slot: Slot, status: MaintenanceStatus) -> dict[str, Any]:
    request = status.schedule.request(slot.request_id)
    stage_s = status.now_s - slot.since_s
    return {
        "seat": slot.seat,
        "ask": slot.request_id,
        "number": slot.granted_revision,
        "stage": _stage_name(slot, stage_s, status),
        "reason": "" if request is None else request.reason,
        "for_s": stage_s,
        "lasts_s": slot.duration_s,
        "note": slot.note,
    }


def _stage_name(slot: Slot, stage_s: float, status: MaintenanceStatus) -> str:
    is_up = slot.seat in status.alive_seats
    if slot.stage is SlotStage.CLEARED:
        if is_up:
            return "may go"
        return "overdue" if stage_s > slot.duration_s * status.policy.overdue_factor else "out"
    if slot.stage is SlotStage.RETURNED:
        return "cold" if is_up else "back, and gone again"
    return slot.stage.api_name if is_up else f"{slot.stage.api_name}, and not heard of"


def _queued_document(request: MaintenanceRequest, seat: str, status: MaintenanceStatus) -> dict[str, Any]:
    return {
        "seat": seat,
        "ask": request.id,
        "why": status.step.reasons.get((request.id, seat), ""),
        "in_s": status.starts_in_s.get((request.id, seat)),
    }


def _history_document(entry: HistoryEntry, now_s: float) -> dict[str, Any]:
    return {
        "ask": entry.request_id,
        "seat": entry.seat,
        "how": SlotOutcome(entry.outcome).api_name,
        "ago_s": now_s - entry.at_s,
        "note": entry.note,
    }
