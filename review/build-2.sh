#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/harness-2/review2/*.java
