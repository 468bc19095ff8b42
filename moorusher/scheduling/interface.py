"""The types of the scheduler: settings, events and actions, under one name.

All times are milliseconds. `Scheduler.step(now, events)` takes a clock that never steps back and returns the
actions in the order in which they are to be carried out. Events about requests that are over, or were never
given, are ignored.
"""

from __future__ import annotations

from moorusher.scheduling.actions import (
    Action,
    CloseIdleConnections,
    DropKey,
    Fail,
    Log,
    Reject,
    SetHealth,
    SetTimer,
    ShareResult,
    Signal,
    SkipCall,
    Start,
    StartCall,
    Stop,
    StoreKey,
)
from moorusher.scheduling.events import (
    CallEnded,
    CallNeeded,
    DrainNotice,
    Event,
    ExecutionOutcome,
    PredecessorLoad,
    Reconfiguration,
    Request,
    RequestAbandoned,
    RunEnded,
    Timer,
)
from moorusher.scheduling.settings import (
    Downstream,
    Effect,
    Preemption,
    RequestClass,
    Settings,
    SignalKind,
    Tenant,
)

__all__ = [
    "Action",
    "CallEnded",
    "CallNeeded",
    "CloseIdleConnections",
    "Downstream",
    "DrainNotice",
    "DropKey",
    "Effect",
    "Event",
    "ExecutionOutcome",
    "Fail",
    "Log",
    "PredecessorLoad",
    "Preemption",
    "Reconfiguration",
    "Reject",
    "Request",
    "RequestAbandoned",
    "RequestClass",
    "RunEnded",
    "SetHealth",
    "SetTimer",
    "Settings",
    "ShareResult",
    "Signal",
    "SignalKind",
    "SkipCall",
    "Start",
    "StartCall",
    "Stop",
    "StoreKey",
    "Tenant",
    "Timer",
]
