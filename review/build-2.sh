#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python of the standard library, run by the deploy file's .venv.
cd "$(dirname "$0")/.." || exit 1
.venv/bin/python -c "
import sys
for name in sys.argv[1:]:
    compile(open(name).read(), name, 'exec')
" review/standins-2/bench.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py
