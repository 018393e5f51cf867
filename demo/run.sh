#!/bin/sh
# Starts the stand-ins and three daemons on loopback, runs the scenes of
# demo.callers, prints the daemons' last log lines if a scene failed, and stops
# the processes it started.
set -eu
python=$1
folder=$(mktemp -d)
started=""

stop() {
    for pid in $started; do kill "$pid" 2>/dev/null || true; done
    for pid in $started; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$folder"
}
trap stop EXIT INT TERM

standin() {
    "$python" -m bluebellhub.standins.main "$@" 2>"$folder/$3.log" &
    started="$started $!"
}

standin platform --listen 127.0.0.1:18000
standin engine --listen 127.0.0.1:18301 --name hire-1 --warm \
    --prefill-tokens-per-s 12000 --step-s 0.015
standin engine --listen 127.0.0.1:18302 --name hire-2 --warm \
    --prefill-tokens-per-s 5000 --step-s 0.03
standin engine --listen 127.0.0.1:18303 --name hire-3 --cold-s 5
standin service --listen 127.0.0.1:18401

number=1
for domain in rennes vannes brest; do
    cat >"$folder/hub-$number.yaml" <<SETTINGS
vm: hub-$number
failure_domain: $domain
listen: 127.0.0.1:1810$number
peer_listen: 127.0.0.1:1820$number
platform: 127.0.0.1:18000
log_level: WARNING
SETTINGS
    bluebellhubd --settings "$folder/hub-$number.yaml" \
        2>"$folder/hub-$number.log" &
    started="$started $!"
    number=$((number + 1))
done

status=0
"$python" -m demo.callers "$started" || status=$?
if [ "$status" -ne 0 ]; then
    echo "--- logs" && tail -n 20 "$folder"/hub-*.log
fi
exit "$status"
