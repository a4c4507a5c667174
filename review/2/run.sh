#!/usr/bin/env bash
# Exits with 1 if ORDER was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no stream is broken off.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 2 110 java -Dfolder=review/2 -cp review/lab/target BrokenOff streams
