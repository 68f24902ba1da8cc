#!/usr/bin/env bash
# Plays case 1. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/croftvaled ] || go build -ldflags=-linkmode=external -o target/ ./cmd/... || exit 2
[ -x target/review/harness ] || review/build.sh || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review/harness -case copy-crash -dir review/1 -daemon target/croftvaled
