#!/usr/bin/env bash
# Demonstrates a fleet on loopback: installs missing dependencies, builds,
# starts stand-ins for the platform and the runners and three entry VMs, sends
# requests, prints the responses with the runner of each stage, and stops all
# processes.
set -euo pipefail
cd "$(dirname "$0")/.."
source demo/fleet.sh

build_fleet
start_fleet

echo
echo "== a four-stage request with a non-streaming response, on VM 1"
send_request 1 answer clearers \
    '"rank":"urgent","input":{"question":"when is the green to be cleared?"}'
echo
echo "== the same pipeline with a streaming response, on VM 2"
send_request 2 answer clearers \
    '"rank":"standard","stream":true,"input":{"question":"draft the spring round"}'
now=$(date +%s%3N)
key="demo-$now"
echo
echo "== a booking on VM 1, then a repeat with the same idempotency key on VM 3"
booking="\"rank\":\"urgent\",\"idempotency_key\":\"$key\",\"issued_at_ms\":$now,\"input\":{\"round\":7}"
send_request 1 booking grinders "$booking"
send_request 3 booking grinders "$booking"
echo
echo "== the outcome of that key, queried on VM 2"
curl -sS -H "Authorization: Bearer grinders-demo-key" \
    "http://127.0.0.1:${http_ports[1]}/v1/outcomes/$key?organisation=grinders&issued_at_ms=$now"
echo
echo
echo "== a request with an invalid bearer key is rejected and not run"
send_request 2 answer nobody '"rank":"urgent","input":1'
