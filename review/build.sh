#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/out/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
g++ -std=c++17 -O2 -Wall -Wextra -pthread standins/standin.cc -o out/standin
