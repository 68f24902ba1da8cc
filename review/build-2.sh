#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: one program that plays the store, the engines and the clients.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/standin2 ./review/standin2
