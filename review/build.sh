#!/usr/bin/env bash
# Builds the stand-ins of the cases: the platform's store, servers and consumers. They need a JDK only.
set -euo pipefail
cd "$(dirname "$0")/lab"
mkdir -p target
javac -d target ./*.java
