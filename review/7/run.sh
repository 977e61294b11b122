#!/bin/bash
# Case 7, see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 could not run.
# TROUBLE=0 takes no machine away.
set -u
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$folder/../.." && pwd)
kit=$root/target/review-2/kit
lab=$root/target/release/lab
daemon=$root/target/release/bronzeportd
record=$folder/record.txt
trouble=${TROUBLE:-1}
first=27
added=8
machines=$((first + added))
[ -x "$kit" ] && [ -x "$lab" ] && [ -x "$daemon" ] || { echo "build first: review/build-2.sh" >&2; exit 2; }
work=$(mktemp -d) || exit 2
pids=()
finish() {
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
    rm -rf "$work"
}
trap finish EXIT
cd "$work" || exit 2

mapfile -t port < <("$kit" ports --count $((machines * 6 + 1)))
[ "${#port[@]}" = $((machines * 6 + 1)) ] || exit 2
store=127.0.0.1:${port[$((machines * 6))]}
at() { echo "127.0.0.1:${port[$(($1 * 6 + $2))]}"; }
cat > config.json <<'CONFIG'
{"version":7,"services":[{"name":"trace-view","health_path":"/healthz","max_connections":1160,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"tenants":[{"name":"bozi300","api_keys":["dedev3nax7u27gxprymh"],"priority":1,"rate_per_s":60,"burst":60}],"virtual_hosts":[{"hostname":"a.example","paths":[{"name":"r-read","prefix":"/read/","kind":"safe","timeout":"1200ms","target_latency":"500ms","priority":0,"service":"trace-view","max_attempts":2,"public":false}]}]}
CONFIG
"$lab" standin --listen "$store" > store.log 2>&1 & pids+=($!); disown
"$kit" publish --store "$store" --file config.json > publish.log 2>&1 || exit 2

zones=(tx-central-a tx-central-b tx-central-c)
owner=()
start_machine() {
    env -i PATH="$PATH" \
        BRONZEPORT_INTERFACE=platform BRONZEPORT_LISTEN="$(at "$1" 0)" \
        BRONZEPORT_ANNOUNCE="$(at "$1" 1)" BRONZEPORT_READY="$(at "$1" 2)" \
        BRONZEPORT_PEER_LISTEN="$(at "$1" 3)" BRONZEPORT_ADMIN="$(at "$1" 4)" \
        BRONZEPORT_DATA_CENTRE="${zones[$(($1 % 3))]}" BRONZEPORT_SERVICE=trace-view \
        BRONZEPORT_TARGET="$(at "$1" 5)" BRONZEPORT_PLATFORM="$store" \
        BRONZEPORT_JOIN_WITHIN="$2" BRONZEPORT_STOP_WITHIN=5.5s BRONZEPORT_LINGER=2.5s \
        BRONZEPORT_LINK=200 BRONZEPORT_TRANSFER_COST=4 BRONZEPORT_LOCALITY_RTT=2ms \
        BRONZEPORT_COLD_UNTIL_CONFIGURED=yes \
        "$daemon" > "daemon-$1.log" 2>&1 &
    owner[$1]=$!
    pids+=($!); disown
    "$kit" server --listen "$(at "$1" 5)" --id "i-$1" --service trace-view \
        --control "$(at "$1" 1)" --slots 6 --work-ms 40 > "server-$1.log" 2>&1 &
    owner[$1]+=" $!"
    pids+=($!); disown
}
list() { local column=$1 text=; shift; for i in "$@"; do text+=,$(at "$i" "$column"); done; echo "${text#,}"; }

for ((i = 0; i < first; i++)); do start_machine $i 2s; done
"$kit" await-ready --at "$(list 2 $(seq 0 $((first - 1))))" > ready.log 2>&1 || exit 2
# Traffic starts 10 s after the machines do.
sleep 8
"$kit" contacts --store "$store" > contacts.log || exit 2
stay=() lost=()
for ((i = 0; i < first; i++)); do
    if [ "$trouble" != 0 ] && grep -qxF "$(at $i 3)" contacts.log; then lost+=($i); else stay+=($i); fi
done
# Each of these machines is taken away in turn, as planned: the back end ends, then its daemon gets
# SIGTERM. They are all gone before the others are added.
for i in "${lost[@]}"; do
    set -- ${owner[i]}
    kill -TERM "$2"; kill -TERM "$1"
    sleep 0.1
done
for i in "${lost[@]}"; do
    set -- ${owner[i]}
    while kill -0 "$1" 2>/dev/null; do sleep 0.05; done
done
sleep 1
new=($(seq $first $((machines - 1))))
for i in "${new[@]}"; do start_machine "$i" 0; sleep 0.25; done
"$kit" await-ready --at "$(list 2 "${new[@]}")" > ready-new.log 2>&1 || exit 2
sleep 4
# A tenant sends 7.5 times its usual for 6.5 s; its quota is 1.6 times its usual.
"$kit" hot --outbound "$(list 0 "${stay[@]}" "${new[@]}")" --rate 281 --seconds 6.5 \
    --key dedev3nax7u27gxprymh > hot.log 2>&1
sleep 0.5
files=hot.log
for i in "${stay[@]}" "${new[@]}"; do files+=,server-$i.log; done
"$kit" judge-quota --files "$files" --window-ms 5000 --rate 60 --burst 60 --overshoot 0.1 --slack 20 > judge.log
code=$?
{
    echo "TROUBLE=$trouble; $first machines, ${#lost[@]} of them taken away: ${lost[*]:-none}; then $added added: ${new[*]}"
    echo "rows of the table member before that: $(wc -l < contacts.log)"
    tail -1 hot.log
    echo "runs at the machines that stayed: $(for i in "${stay[@]}"; do cat server-$i.log; done | grep -c '^run')"
    echo "runs at the machines that were added: $(for i in "${new[@]}"; do cat server-$i.log; done | grep -c '^run')"
    cat judge.log
    echo "each request: sent MS ID, run MS ID TENANT"
    cat hot.log | grep '^sent'
    for i in "${stay[@]}" "${new[@]}"; do grep '^run' server-$i.log | sed "s/^/machine $i: /"; done
} > "$record"
[ $code = 0 ] || [ $code = 1 ] || exit 2
exit $code
