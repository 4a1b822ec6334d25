"""Entry point of `python -m frostport`."""

import sys

from frostport.cli import main

if __name__ == "__main__":
    sys.exit(main())
