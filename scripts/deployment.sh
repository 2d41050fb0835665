# Sourced by scripts/demo and scripts/region-failure: builds and starts a whole deployment on loopback addresses.
# Takes the name of the deployment as $1. Sets name, net (second byte of the addresses), service, from and to (regions of
# the shift), run (directory of the logs), entries (options of the tools), pids. Kills all processes on exit.

name=${1:-trust}
case $name in
trust) net=1 service=registry from=hill to=gulf ;;
hooghly) net=2 service=status-desk from=kolkata to=howrah ;;
*) echo "usage: scripts/demo [trust|hooghly]" >&2 && exit 2 ;;
esac
scripts/build >/dev/null

run=$(mktemp -d)
declare -A pids
failed=0
stop_all() {
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    if [ "$failed" -eq 0 ]; then rm -rf "$run"; else echo "logs are in $run"; fi
}
trap stop_all EXIT

# start NAME COMMAND...: runs a program in the background, with its output in $run/NAME.out and its log in $run/NAME.log.
start() {
    local key=$1
    shift
    "$@" >>"$run/$key.out" 2>>"$run/$key.log" &
    pids[$key]=$!
    disown "$!"
}
# start_vm N: starts agent and entry process of VM N. With LHUB_RECORD=N the first start writes a trace for lhub-replay to
# trace-vmN.jsonl.
start_vm() {
    local record=()
    if [ "${LHUB_RECORD:-}" = "$1" ] && [ ! -e "trace-vm$1.jsonl" ]; then record=(--record "trace-vm$1.jsonl"); fi
    start "agent$1" build/lhub-agent --settings "settings/$name/vm$1.json"
    start "entry$1" build/lhub-entry --settings "settings/$name/vm$1.json" "${record[@]}"
}
expect() { # expect TEXT COMMAND...: prints the result of a check; a failure sets failed
    local text=$1
    shift
    if "$@"; then echo "ok      $text"; else echo "FAILED  $text" && failed=1; fi
}
now_ms() { date +%s%3N; }
ctl() { build/lhubctl --admin "127.$net.0.2:7400" --who demo --why "scripts/demo" "$@"; }
control() { curl -s -X POST -d "$1" "http://127.$net.0.1:7300/v1/control" >/dev/null; }

entries=()
for i in $(seq 1 12); do entries+=(--entry "127.$net.1.$i:8080"); done

echo "== starting the $name deployment: store, endpoints, 12 entry VMs"
start store build/lhub-standin --store "127.$net.0.1:7300"
start endpoints build/lhub-standin --endpoints "settings/$name/endpoints.json" --control "127.$net.0.1:7301"
start admin build/lhub-admin --settings "settings/$name/admin.json"
until curl -s -o /dev/null "http://127.$net.0.1:7300/v1/control"; do sleep 0.1; done
until ctl list >/dev/null 2>&1; do sleep 0.1; done
ctl apply "settings/$name/deployment.json" >"$run/apply.out"
for i in $(seq 1 12); do start_vm "$i"; done
build/lhub-report "${entries[@]}" --seconds 20 wait --revision 60 >/dev/null
sleep 4
curl -s "http://127.$net.1.1:8080/v1/steer?service=$service&client=10.2.1.1" && echo
