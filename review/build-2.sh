#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/8 start besides the binary of deploy/system.toml.
# The scripts speak HTTP through bash's /dev/tcp and start no other stand-in, so there is nothing to compile.
set -eu
cd "$(dirname "$0")/.."
command -v timeout >/dev/null
for script in review/[4-8]/run.sh; do
  [ ! -e "$script" ] || bash -n "$script"
done
