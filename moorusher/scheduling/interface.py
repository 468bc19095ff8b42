"""The types of the scheduler's interface: settings, events and actions.

All times are milliseconds. `Scheduler.step(now, events)` requires a monotonic clock and returns the actions
in the order in which they must be executed. Events about unknown or finished requests are ignored.
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
