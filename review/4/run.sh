#!/usr/bin/env bash
# Exit status: 0 the rule held, 1 it was broken, 2 the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" && TROUBLE="${TROUBLE:-1}" exec timeout -k 5 120 node play.mjs
