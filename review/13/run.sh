#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 plays the case without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/rig-3 deadly review/13
