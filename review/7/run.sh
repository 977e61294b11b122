#!/bin/bash
# Case 7, see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 could not run.
# TROUBLE=0 fetches the metrics of each daemon every 5 s, as while an incident is examined.
set -u
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$folder/../.." && pwd)
kit=$root/target/review-2/kit
lab=$root/target/release/lab
daemon=$root/target/release/bronzeportd
record=$folder/record.txt
trouble=${TROUBLE:-1}
machines=3
memory_mb=160
seconds=104
[ -x "$kit" ] && [ -x "$lab" ] && [ -x "$daemon" ] || { echo "build first: review/build-2.sh" >&2; exit 2; }
work=$(mktemp -d) || exit 2
pids=()
running=()
finish() {
    for pid in "${pids[@]}" "${running[@]}"; do kill -9 "$pid" 2>/dev/null; done
    rm -rf "$work"
}
trap finish EXIT
cd "$work" || exit 2

mapfile -t port < <("$kit" ports --count $((machines * 6 + 1)))
[ "${#port[@]}" = $((machines * 6 + 1)) ] || exit 2
store=127.0.0.1:${port[$((machines * 6))]}
at() { echo "127.0.0.1:${port[$(($1 * 6 + $2))]}"; }
cat > config.json <<'CONFIG'
{"version":7,"services":[{"name":"ward-desk","health_path":"/healthz","max_connections":960,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"virtual_hosts":[{"hostname":"a.example","paths":[{"name":"r-read","prefix":"/read/","kind":"safe","timeout":"1200ms","target_latency":"500ms","priority":2,"service":"ward-desk","max_attempts":2}]}]}
CONFIG
"$lab" standin --listen "$store" > store.log 2>&1 & pids+=($!); disown
"$kit" publish --store "$store" --file config.json > publish.log 2>&1 || exit 2

zones=(lhr-a khi-a pew-a lhr-b)
start_daemon() {
    env -i PATH="$PATH" \
        BRONZEPORT_INTERFACE=platform BRONZEPORT_LISTEN="$(at "$1" 0)" \
        BRONZEPORT_ANNOUNCE="$(at "$1" 1)" BRONZEPORT_READY="$(at "$1" 2)" \
        BRONZEPORT_PEER_LISTEN="$(at "$1" 3)" BRONZEPORT_ADMIN="$(at "$1" 4)" \
        BRONZEPORT_DATA_CENTRE="${zones[$1]}" BRONZEPORT_SERVICE=ward-desk \
        BRONZEPORT_TARGET="$(at "$1" 5)" BRONZEPORT_PLATFORM="$store" \
        BRONZEPORT_JOIN_WITHIN="$2" BRONZEPORT_STOP_WITHIN=5.5s BRONZEPORT_LINGER=2.5s \
        BRONZEPORT_LINK=200 BRONZEPORT_TRANSFER_COST=4 BRONZEPORT_LOCALITY_RTT=2ms \
        BRONZEPORT_COLD_UNTIL_CONFIGURED=no \
        "$daemon" >> "daemon-$1.log" 2>&1 &
    running[$1]=$!
    disown
}
ready=()
for ((i = 0; i < machines; i++)); do
    start_daemon $i 2s
    "$kit" server --listen "$(at $i 5)" --id "i-$i" --service ward-desk --control "$(at $i 1)" \
        --slots 9 --work-ms 1 > "server-$i.log" 2>&1 &
    pids+=($!); disown
    ready+=("$(at $i 2)")
done
"$kit" await-ready --at "$(IFS=,; echo "${ready[*]}")" > ready.log 2>&1 || exit 2
sleep 3
for ((i = 0; i < machines; i++)); do
    # Requests on the route that a backend runs, and on one that the configuration hasn't.
    "$kit" flood --to "$(at $i 0)" --host a.example --path /read/ --connections 1 --ahead 1 \
        --seconds $seconds > "read-$i.log" 2>&1 &
    pids+=($!); disown
    "$kit" flood --to "$(at $i 0)" --host a.example --path /dropped/ --connections 2 --ahead 16 \
        --seconds $seconds > "dropped-$i.log" 2>&1 &
    pids+=($!); disown
done

# The platform: ends a process whose memory is above the limit and starts it again.
ends=()
for ((i = 0; i < machines; i++)); do ends[i]=0; done
all_ends=0
began=$SECONDS
fetched=$SECONDS
{
    echo "TROUBLE=$trouble, $machines machines, limit $memory_mb MB, $seconds s"
    while [ $((SECONDS - began)) -lt $seconds ]; do
        if [ "$trouble" = 0 ] && [ $((SECONDS - fetched)) -ge 5 ]; then
            fetched=$SECONDS
            for ((i = 0; i < machines; i++)); do
                "$kit" fetch --at "$(at $i 4)" --path /metrics > "metrics-$i.log" 2>&1
            done
        fi
        line="$((SECONDS - began)) s:"
        for ((i = 0; i < machines; i++)); do
            kb=$(awk '/^VmRSS/ {print $2}' "/proc/${running[i]}/status" 2>/dev/null)
            line+=" machine $i ${kb:-0} kB"
            if [ "${kb:-0}" -gt $((memory_mb * 1024)) ]; then
                kill -9 "${running[i]}"
                ends[i]=$((ends[i] + 1)); all_ends=$((all_ends + 1))
                line+=" (above the limit, ended)"
                sleep 0.5
                start_daemon $i 0
            fi
        done
        [ $(((SECONDS - began) % 4)) = 0 ] || [[ $line == *ended* ]] && echo "$line"
        sleep 0.9
    done
    for ((i = 0; i < machines; i++)); do
        echo "machine $i: ended ${ends[i]} times; $(tail -1 "read-$i.log"); dropped route: $(tail -1 "dropped-$i.log")"
    done
} > "$record"
touched=0
for ((i = 0; i < machines; i++)); do [ "${ends[i]}" -gt 0 ] && touched=$((touched + 1)); done
if [ $touched -ge 2 ] && [ $all_ends -ge 3 ]; then
    echo "Fault: processes of $touched of $machines machines ended $all_ends times" >> "$record"
    exit 1
fi
echo "Fault is not met: $all_ends ends on $touched machines" >> "$record"
exit 0
