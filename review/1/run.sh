#!/bin/sh
# Exits with 1 if a request ran twice, 0 if none did, 2 if the case could not run.
exec python3 "$(dirname "$0")/case.py"
