#!/bin/sh
# Builds the stand-ins of review/4 to review/6: they are plain Python (standard library only), so
# this only checks that they compile, without writing anything into the checkout.
cd "$(dirname "$0")" || exit 1
[ -d ../target/deps ] || { echo "run the build line of deploy/system.toml first" >&2; exit 1; }
for file in harness-2/*.py [456]/run.py; do
    [ -f "$file" ] || continue
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file" || exit 1
done
