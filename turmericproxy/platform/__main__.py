"""Start one host on the platform: ``python -m turmericproxy.platform``."""

import signal
import sys


def main() -> int:
    """Run a host until SIGTERM; return the exit code."""
    # SIGHUP announces changed settings. It may arrive while the host's modules are imported, which
    # takes most of the start time, and would terminate the process by default.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from turmericproxy.platform import program

    return program.main()


if __name__ == "__main__":
    sys.exit(main())
