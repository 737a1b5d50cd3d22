#!/bin/bash
# Builds the stand-ins and the cases of this review into review/.build. Needs only the JDK; run it after the build of
# the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf .build
mkdir -p .build
javac -nowarn -d .build lib/*.java [0-9]/*.java
