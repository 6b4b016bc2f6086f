# The operators' command line: exit codes, and one clear line on each error.
source "$(dirname "$0")/../common/fault_case.sh"
exec 2>&1
TOOL=$(program balsampost)
DAEMON=$(program balsampostd)
try() { # COMMAND...
    "$@" > "$RUN_DIR/try.out" 2>&1
    echo "exit $?: $(head -n 1 "$RUN_DIR/try.out")"
}

try "$TOOL" --version
try "$TOOL"
try "$TOOL" frobnicate
try "$TOOL" check
try "$TOOL" check examples/mackinlay
try "$TOOL" check examples/exchange
try "$TOOL" check "$RUN_DIR/nothing-here" | sed "s#$RUN_DIR#DIR#"
mkdir -p "$RUN_DIR/bad"
cp examples/mackinlay/*.ini "$RUN_DIR/bad"
sed -i 's/^profile = mackinlay/profile = mackinley/' "$RUN_DIR/bad/services.ini"
"$TOOL" check "$RUN_DIR/bad"
echo "exit $?"
try "$TOOL" --instance nowhere:1 status
try "$TOOL" --platform 127.0.0.1:1 config show
try "$TOOL" status
try "$DAEMON" --config "$RUN_DIR/none.ini" | sed "s#$RUN_DIR#DIR#"
printf '[instance]\nname = x\n[listen]\ncallers = here:80\n[extra]\na = 1\n' > "$RUN_DIR/x.ini"
"$DAEMON" --check-config --config "$RUN_DIR/x.ini" 2>&1 | sed "s#$RUN_DIR#DIR#"

OTHER_SERVERS=1 KEYED_SERVERS=2
start_deployment || exit 1
"$DAEMON" --check-config --config "$RUN_DIR/$(daemon_name 0).ini" && echo "sound settings: exit 0"
try cli move vacancy-index 999 vacancy-index-1
try cli move vacancy-index 5 nobody
try "$TOOL" --instance "$(daemon_address 0):7404" --token wrong move vacancy-index 5 vacancy-index-1
slice_owner() { cli explain vacancy-index "$1" | grep -o 'owned by [a-z0-9-]*'; }
slice=$(cli explain vacancy-index EH1 | grep -o 'slice [0-9]*' | cut -d' ' -f2)
owner=$(slice_owner EH1 | cut -d' ' -f3)
other=vacancy-index-$([ "$owner" = vacancy-index-0 ] && echo 1 || echo 0)
try cli move vacancy-index "$slice" "$other"
moved() { [ "$(slice_owner EH1)" = "owned by $other" ]; }
wait_until "the slice has moved" moved && echo "the slice has moved"
try cli drain nobody
