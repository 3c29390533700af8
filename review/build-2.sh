#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the daemon. Their stand-ins are plain JavaScript in
# review/lib-2 and in the cases' folders and need no library, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/{6,7,8,9,10}/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
