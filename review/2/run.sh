#!/usr/bin/env bash
# A server restarts under its ID and leaves before its first liveness report arrives, which is late. Exit code: 1 rule broken, 0 held, 2 not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
for program in "$root/target/bambooknot" "$root/target/review/drill" "$root/target/review/standinlog"; do
	if [ ! -x "$program" ]; then
		echo "not run: $program is not built"
		exit 2
	fi
done
exec "$root/target/review/drill" latereport "$root" "$here/record.txt"
