#!/bin/sh
# The stand-ins are Python programs of the standard library and need no build. The programs under
# review are built by the `build` line of deploy/system.toml; this runs it if that was not done.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || [ -x .venv/bin/python ] || python3 -c '
import subprocess, tomllib
build = tomllib.load(open("deploy/system.toml", "rb"))["build"]
raise SystemExit(subprocess.call(build, shell=True))'
