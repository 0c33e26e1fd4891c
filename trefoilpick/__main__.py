"""Run the command line with `python -m trefoilpick`."""

from trefoilpick.cli import main

if __name__ == "__main__":
    main()
