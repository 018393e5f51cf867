#!/bin/sh
# Verifies the specifications by a complete search of their state space.
# Each seeded mistake must produce an error; if one doesn't, the check fails.
set -eu
cd "$(dirname "$0")"
mkdir -p build

verify() { # file, macro of a seeded mistake; prints the number of errors
    folder="build/$1-${2:-correct}"
    mkdir -p "$folder"
    define=""
    [ -n "${2:-}" ] && define="-D$2"
    (cd "$folder" && spin $define -a "../../$1.pml" >spin.log &&
        cc -O2 -DSAFETY -DMEMLIM=4096 -DCOLLAPSE -o pan pan.c &&
        ./pan -m200000 >pan.log 2>&1)
    if [ -z "${2:-}" ] &&
        grep -q 'not completed\|depth too small' "$folder/pan.log"; then
        echo "$1 ${2:-}: the search was cut short" >&2
        exit 1
    fi
    sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$folder/pan.log"
}

passed=0
failed=0
judge() { # file, macro of a seeded mistake, whether errors are expected
    errors=$(verify "$1" "$2")
    states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' \
        "build/$1-${2:-correct}/pan.log")
    found=no
    [ "$errors" -gt 0 ] && found=yes
    if [ "$found" = "$3" ]; then
        passed=$((passed + 1))
        echo "$1 ${2:-as designed}: errors found: $found ($states states)"
    else
        failed=$((failed + 1))
        echo "$1 ${2:-as designed}: errors found: $found, expected $3"
    fi
}

judge lease "" no
judge lease EXPIRY_FROM_RECEIPT yes
judge lease NO_SILENCE yes
judge lease NO_CONFIRMATION yes
judge lease DROP_ON_VOID yes
judge orders "" no
judge orders NO_CONDITION yes
judge orders RETRY_ON_LOSS yes
judge orders NO_MARK yes
judge duty "" no
judge duty EXPIRY_FROM_RESPONSE yes
judge duty NO_CHECK_AT_SENDING yes
judge duty SHORT_OBSERVATION yes
judge duty UNCONDITIONAL_WRITE yes
judge duty RELEASE_AT_ONCE yes
judge duty NO_SETTLING yes
judge duty NO_ERA yes
judge duty NO_RESTORE_WAIT yes
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
