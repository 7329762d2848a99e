"""Start script of an entry on the users' platform."""

import signal
import sys

if __name__ == "__main__":
    # The program unblocks the signal once it handles it; before, it would end it.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from acaciarelay.programs.relay_entry import main

    sys.exit(main())
