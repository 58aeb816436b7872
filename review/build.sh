#!/bin/sh
# Builds the stand-ins that the scripts of the cases start: one program, with a
# subcommand for each case. It uses the standard library only.
set -e
cd "$(dirname "$0")/stand"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/reviewstand .
