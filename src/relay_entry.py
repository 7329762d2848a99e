"""Start script of an entry on the users' platform."""

import sys

from acaciarelay.programs.relay_entry import main

if __name__ == "__main__":
    sys.exit(main())
