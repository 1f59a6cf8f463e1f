#!/bin/sh
# Exits with 1 if the core ended by itself, 0 if it did not, 2 if the case could not run.
exec python3 "$(dirname "$0")/case.py"
