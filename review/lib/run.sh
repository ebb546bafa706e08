# Runs the case of the folder $here, which writes to $record, with a temporary
# folder. The exit status is the case's: 1 the rule was broken, 0 it held, 2 the
# case could not run.
: >"$record" || exit 2
cd "$here/../.." || exit 2
program=review/build/case$(basename "$here")
test -x "$program" && test -x target/apricotshift || {
	echo "not built: target/apricotshift or $program" | tee "$record"
	exit 2
}
dir=$(mktemp -d) || exit 2
timeout -k 2 118 "$program" "$record" "$dir"
status=$?
if [ -n "$KEEP" ]; then
	echo "kept $dir"
else
	rm -rf "$dir"
fi
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
