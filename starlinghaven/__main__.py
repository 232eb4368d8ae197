"""python -m starlinghaven: one edge proxy."""

from starlinghaven.program.daemon import main

if __name__ == "__main__":
    raise SystemExit(main())
