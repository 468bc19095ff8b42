"""`python -m moorusher` runs one runner without importing the command line library, to save memory."""

import os
import signal
import sys

if len(sys.argv) == 1 or sys.argv[1] == "serve":
    # The handlers are installed before the large imports. A SIGHUP before the configuration is read needs no reload,
    # and must not end the process. SIGTERM ends the process at once, since no request has been accepted yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))

if len(sys.argv) == 1:
    from .server.main import serve

    sys.exit(serve())
from .cli import main

sys.exit(main())
