"""python -m starlinghaven: one edge proxy."""

from starlinghaven.program.signals import hold

if __name__ == "__main__":
    hold()  # before anything else is loaded
    from starlinghaven.program.light_imports import load_event_loop

    load_event_loop()
    from starlinghaven.program.daemon import main

    raise SystemExit(main())
