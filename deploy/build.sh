#!/bin/sh
# Installs the libraries and this workspace's packages into target/deps,
# which the platform puts on Python's path.
set -eu
if [ ! target/deps/.installed -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --target target/deps \
        -r deploy/requirements.txt
    touch target/deps/.installed
fi
for source in packages/mulberryloom-core packages/mulberryloom-policy \
        packages/mulberryloom-entry packages/mulberryloom-agent platform; do
    cp -r "$source"/src/* target/deps/
done
python3 -m compileall -q target/deps/mulberryloom_*
