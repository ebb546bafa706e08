#!/bin/bash
# Runs case.c, see claim.txt. Writes record.txt in this folder.
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
. "$here/../lib/run.sh"
