#!/bin/sh
# Compiles the stand-ins of cases 7 to 10, which need nothing but Python's own library.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins-2 7 8 9 10
