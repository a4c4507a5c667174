#!/usr/bin/env bash
# Builds the stand-ins and callers of the cases 6 to 10. They need the JDK only.
set -euo pipefail
cd "$(dirname "$0")/lab-2"
rm -rf target
mkdir -p target
javac -d target ./*.java
