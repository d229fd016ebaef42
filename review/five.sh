#!/bin/sh
# Runs one case five times with its disruption and five times without; prints the exit codes.
cd "$(dirname "$0")"
for trouble in 1 0; do
    codes=""
    for _ in 1 2 3 4 5; do
        code=0
        TROUBLE=$trouble "./$1/run.sh" || code=$?
        codes="$codes $code"
    done
    echo "case $1, TROUBLE=$trouble: exit codes$codes"
done
