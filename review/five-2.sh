#!/bin/sh
# Plays each case of the second review five times, and once with TROUBLE=0; prints the exit codes.
# Arguments: the numbers of the cases; without any, all of them.
cd "$(dirname "$0")" || exit 1
for case in ${*:-6 7 8 9 10}; do
    codes=""
    for _ in 1 2 3 4 5; do
        "./$case/run.sh" >/dev/null 2>&1
        codes="$codes $?"
    done
    TROUBLE=0 "./$case/run.sh" >/dev/null 2>&1
    echo "case $case: with the disruption$codes, without it $?"
done
