#!/usr/bin/env bash
# Upstreams reset some connections in the middle of answers without a length.
# TROUBLE=0: the same answers, none of them reset. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
timeout -k 2 110 node case.mjs
code=$?
# Without a record the case has not come to its end.
[ -f record.txt ] && exit "$code"
exit 2
