#!/bin/bash
# Case 8, see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 could not run.
# TROUBLE=0 leaves the store up.
set -u
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$folder/../.." && pwd)
kit=$root/target/review-2/kit
lab=$root/target/release/lab
daemon=$root/target/release/bronzeportd
record=$folder/record.txt
trouble=${TROUBLE:-1}
machines=3
rounds=5
[ -x "$kit" ] && [ -x "$lab" ] && [ -x "$daemon" ] || { echo "build first: review/build-2.sh" >&2; exit 2; }
work=$(mktemp -d) || exit 2
pids=()
finish() {
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
    rm -rf "$work"
}
trap finish EXIT
cd "$work" || exit 2
now() { date +%s%3N; }

mapfile -t port < <("$kit" ports --count $((machines * 6 + 2)))
[ "${#port[@]}" = $((machines * 6 + 2)) ] || exit 2
store=127.0.0.1:${port[$((machines * 6))]}
proxy=127.0.0.1:${port[$((machines * 6 + 1))]}
at() { echo "127.0.0.1:${port[$(($1 * 6 + $2))]}"; }
# Odd versions have the route /flip/, even ones have not.
write_config() {
    local flip=
    [ $(($1 % 2)) = 1 ] && flip=',{"name":"r-flip","prefix":"/flip/","kind":"safe","timeout":"500ms","target_latency":"200ms","priority":2,"service":"ward-desk","max_attempts":2}'
    echo "{\"version\":$1,\"services\":[{\"name\":\"ward-desk\",\"health_path\":\"/healthz\",\"max_connections\":220,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},\"virtual_hosts\":[{\"hostname\":\"a.example\",\"paths\":[{\"name\":\"r-read\",\"prefix\":\"/read/\",\"kind\":\"safe\",\"timeout\":\"500ms\",\"target_latency\":\"200ms\",\"priority\":2,\"service\":\"ward-desk\",\"max_attempts\":2}$flip]}]}" > config.json
    "$kit" publish --store "$store" --file config.json > publish.log 2>&1
}
"$lab" standin --listen "$store" > store.log 2>&1 & pids+=($!); disown
write_config 1 || exit 2
"$kit" reset-proxy --listen "$proxy" --to "$store" --reset "$work/down" > proxy.log 2>&1 & pids+=($!); disown
zones=(lhr-a khi-a pew-a)
owner=()
for ((i = 0; i < machines; i++)); do
    env -i PATH="$PATH" \
        BRONZEPORT_INTERFACE=platform BRONZEPORT_LISTEN="$(at $i 0)" BRONZEPORT_ANNOUNCE="$(at $i 1)" \
        BRONZEPORT_READY="$(at $i 2)" BRONZEPORT_PEER_LISTEN="$(at $i 3)" BRONZEPORT_ADMIN="$(at $i 4)" \
        BRONZEPORT_DATA_CENTRE="${zones[i]}" BRONZEPORT_SERVICE=ward-desk \
        BRONZEPORT_TARGET="$(at $i 5)" BRONZEPORT_PLATFORM="$proxy" BRONZEPORT_JOIN_WITHIN=2s \
        BRONZEPORT_STOP_WITHIN=5.5s BRONZEPORT_LINGER=2.5s BRONZEPORT_LINK=1000.0 \
        BRONZEPORT_TRANSFER_COST=4 BRONZEPORT_LOCALITY_RTT=2ms BRONZEPORT_COLD_UNTIL_CONFIGURED=no \
        "$daemon" > "daemon-$i.log" 2>&1 &
    owner[$i]=$!; pids+=($!); disown
    "$kit" server --listen "$(at $i 5)" --id "i-$i" --service ward-desk --control "$(at $i 1)" \
        --slots 12 --work-ms 60 > "server-$i.log" 2>&1 &
    owner[$i]+=" $!"; pids+=($!); disown
done
"$kit" await-ready --at "$(at 0 2),$(at 1 2),$(at 2 2)" > ready.log 2>&1 || exit 2
sleep 2
# Two of the three machines are taken away, as planned work.
for i in 1 2; do set -- ${owner[i]}; kill -TERM "$2"; kill -TERM "$1"; done
for i in 1 2; do set -- ${owner[i]}; while kill -0 "$1" 2>/dev/null; do sleep 0.05; done; done
sleep 3
"$kit" probe --to "$(at 0 0)" --path /flip/x --seconds $((rounds * 16 + 1)) > probe.log 2>&1 &
pids+=($!); disown
: > marks.log
for ((round = 1; round <= rounds; round++)); do
    [ "$trouble" = 0 ] || touch down
    sleep 8
    rm -f down
    up=$(now)
    sleep 0.3
    write_config $((round + 1)) || exit 2
    # From here on the machine is in touch and the version has to be in force.
    acked=$(now)
    from=$((up + 3000)); [ $((acked + 2000)) -gt $from ] && from=$((acked + 2000))
    sleep 7.6
    # A version without the route: 200 is the older one; a version with it: 404 is.
    older=404; [ $(((round + 1) % 2)) = 0 ] && older=200
    echo "$round $up $acked $from $(now) $older" >> marks.log
done
broken=0
{
    echo "TROUBLE=$trouble; one of $machines machines is left; $rounds times the store is down for 8 s"
    while read -r round up acked from to older; do
        in_time=$(awk -v a="$from" -v b="$to" '$2 >= a && $2 < b' probe.log | wc -l)
        old=$(awk -v a="$from" -v b="$to" -v s="$older" '$2 >= a && $2 < b && $3 == s' probe.log)
        count=$(grep -c . <<< "$old")
        last=$(tail -1 <<< "$old" | awk '{print $2}')
        [ "$count" -gt 0 ] && broken=1
        echo "round $round: store up again at $up, version $((round + 1)) acknowledged $((acked - up)) ms later; of $in_time requests sent from $((from - acked)) ms after that on, $count were handled by an older version${last:+, the last of them $((last - acked)) ms after the acknowledgement}"
    done < marks.log
    echo "asked MS STATUS BODY, of all requests:"
    cat probe.log
    echo "log of the daemon that stays, without the lines about requests:"
    grep -v '"id"' daemon-0.log
} > "$record"
grep -q '^asked [0-9]* 200' probe.log && grep -q '^asked [0-9]* 404' probe.log || exit 2
exit $broken
