"""Start script of an agent on the users' platform."""

import sys

from acaciarelay.programs.relay_agent import main

if __name__ == "__main__":
    sys.exit(main())
