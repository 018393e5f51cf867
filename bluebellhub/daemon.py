"""Entry point of the daemon ``bluebellhubd``.

It imports the program only after it has arranged for SIGHUP, which may arrive
at any moment from the start of the process on.
"""

import signal
from importlib import import_module

__all__ = ['main']


def main() -> None:
    """Run the daemon; exits with status 2 if the settings are not valid.

    SIGHUP is ignored until the VM handles it by itself: a VM that starts reads
    its settings anyway.  Its default action would end the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import_module('bluebellhub.startup').run_daemon()


if __name__ == '__main__':
    main()
