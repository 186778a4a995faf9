#!/bin/sh
# Compiles the stand-ins, which need nothing but Python's own library.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review
