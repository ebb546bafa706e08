#!/bin/bash
exec "$(dirname "$0")/../rig-2/run.sh" "$(dirname "$0")"
