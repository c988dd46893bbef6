#!/bin/sh
# The stand-ins are Python of the standard library alone: this only compiles them.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q review
