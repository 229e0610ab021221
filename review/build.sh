#!/bin/sh
# Compiles the stand-ins of the review; they use the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
