# Runs the case of a folder: bash lib-2/run.sh FOLDER. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
here=$(cd "$1" && pwd)
root=$(cd "$here/../.." && pwd)
temp=$(mktemp -d) || exit 2
child=
stop() {
    [ -n "$child" ] && kill -TERM "$child" 2>/dev/null
    for pid in $(cat "$temp"/*.pid 2>/dev/null); do kill -KILL "$pid" 2>/dev/null; done
    rm -rf "$temp"
}
trap stop EXIT
trap 'exit 2' INT TERM
[ -x "$root/target/release/amberarch" ] || { echo "no target/release/amberarch: run the build of the deploy file" >&2; exit 2; }
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || { echo "no python3" >&2; exit 2; }
timeout -k 2 115 python3 "$here/case.py" "$here" "$temp" 2> "$temp/errors" &
child=$!
wait "$child"
code=$?
child=
case $code in
    0) echo "held" ;;
    1) grep -q Traceback "$temp/errors" && { cat "$temp/errors" >&2; exit 2; }
       echo "broken; see $here/record.txt" ;;
    *) cat "$temp/errors" >&2; code=2 ;;
esac
exit $code
