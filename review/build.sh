#!/usr/bin/env bash
# The stand-ins are plain JavaScript for Node.js without dependencies: nothing is compiled, each is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  [ -e "$file" ] && node --check "$file"
done
