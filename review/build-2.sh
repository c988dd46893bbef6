#!/bin/sh
# Compiles the stand-ins of the second review; they need Python's own library alone.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins2
