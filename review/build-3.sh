#!/bin/bash
# Builds the stand-ins that the scripts of review/11 to review/15 start.  Run it
# after the build of the deploy file; it needs no network.
set -e
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/standin-site
