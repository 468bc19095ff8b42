"""`python -m moorusher` runs one runner, without the command line's library: the platform gives little memory."""

import os
import signal
import sys

if len(sys.argv) == 1 or sys.argv[1] == "serve":
    # Before anything large is imported, and before the configuration is read: a SIGHUP that comes earlier than that has
    # nothing to add, and must not end the process; SIGTERM ends one that has taken nothing yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))

if len(sys.argv) == 1:
    from .server.main import serve

    sys.exit(serve())
from .cli import main

sys.exit(main())
