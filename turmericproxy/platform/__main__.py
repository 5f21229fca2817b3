"""Start one host on the platform: ``python -m turmericproxy.platform``."""

import signal
import sys


def main() -> int:
    """Run a host until SIGTERM; return the exit code."""
    # Settings may change while the host's modules are still imported, which takes most of its
    # start; the signal that tells of it would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from turmericproxy.platform import program

    return program.main()


if __name__ == "__main__":
    sys.exit(main())
