#!/bin/sh
# Builds the stand-ins that the scripts in review/12 to review/15 start. They are plain Python 3.11
# modules of the standard library, so that compiling them is all there is to do.
cd "$(dirname "$0")" && exec python3 -m compileall -q third 11 12
