#!/bin/bash
# Builds the stand-ins that the scripts start: the operator, the platform's list, servers, clients and a proxy.
set -e
cd "$(dirname "$0")/harness"
rm -rf classes
javac -Xlint:all -d classes *.java
