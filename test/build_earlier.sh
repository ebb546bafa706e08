#!/bin/bash
# Builds the gateway of an earlier commit of this repository into a folder of its
# own, and prints the path of the program. Usage: build_earlier.sh COMMIT FOLDER
set -euo pipefail
commit=${1:?COMMIT}
folder=${2:?FOLDER}
cd "$(dirname "$0")/.."

git rev-parse -q --verify "$commit^{commit}" >/dev/null ||
	{ echo "$commit: not in the history of this repository" >&2; exit 3; }
mkdir -p "$folder/src"
git archive "$commit" | tar -x -C "$folder/src"
make -s -j"$(nproc)" -C "$folder/src" B=build build/apricotshift >&2
cp "$folder/src/build/apricotshift" "$folder/apricotshift"
echo "$folder/apricotshift"
