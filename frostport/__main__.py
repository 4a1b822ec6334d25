"""`python -m frostport`: see cli.py."""

import sys

from frostport.cli import main

if __name__ == "__main__":
    sys.exit(main())
