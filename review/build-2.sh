#!/usr/bin/env bash
# Compiles the stand-ins and the cases 4 to 8 into a folder of their own. Needs a JDK 17 and no network.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf lib-2/.build
mkdir -p lib-2/.build
javac -encoding UTF-8 -d lib-2/.build lib-2/*.java [0-9]/src/*.java
