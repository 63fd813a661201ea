#!/usr/bin/env bash
# Starts four hosts in three data centres and simulated targets on loopback addresses,
# sends example requests, and stops all processes.
# With --keep the hosts serve until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
keep=${1:-}
go build -o bin/ ./cmd/...
dir=$(mktemp -d)
pids=()
cleanup() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

printf 'operator-token-%s' "$RANDOM$RANDOM$RANDOM" >"$dir/operator"
printf 'announce-token-%s' "$RANDOM$RANDOM$RANDOM" >"$dir/announce"
printf 'digest-key-%s' "$RANDOM$RANDOM$RANDOM$RANDOM" >"$dir/digest"

# name, data centre, region, IP address, role (control hosts also have the entry role)
hosts=(
	"gijon-1 gijon-a asturias 127.0.11.1 control"
	"gijon-2 gijon-a asturias 127.0.11.2 entry"
	"santander-1 santander-a cantabria 127.0.12.1 control"
	"bilbao-1 bilbao-a euskadi 127.0.13.1 control"
)
settings() { # prints the settings file of one host
	read -r name dc region ip role <<<"$1"
	echo "name = \"$name\""
	echo "data_centre = \"$dc\""
	echo "region = \"$region\""
	if [ "$role" = control ]; then
		echo 'roles = ["entry", "control"]'
		echo "data_dir = \"$dir/$name\""
	fi
	echo "[listen]"
	echo "http = \"$ip:18080\""
	echo "peer = \"$ip:17000\""
	echo "[control]"
	echo 'voters = ["gijon-1", "santander-1", "bilbao-1"]'
	echo "[security]"
	echo "operator_token_file = \"$dir/operator\""
	echo "announce_token_file = \"$dir/announce\""
	echo "digest_key_file = \"$dir/digest\""
	echo "allow_plaintext_peers = true"
	for other in "${hosts[@]}"; do
		read -r oname odc oregion oip _ <<<"$other"
		[ "$oname" = "$name" ] && continue
		echo "[[hosts]]"
		echo "name = \"$oname\""
		echo "data_centre = \"$odc\""
		echo "region = \"$oregion\""
		echo "http = \"$oip:18080\""
		echo "peer = \"$oip:17000\""
	done
}
for host in "${hosts[@]}"; do
	read -r name _ <<<"$host"
	settings "$host" >"$dir/$name.toml"
	./bin/geraniumturn --settings "$dir/$name.toml" 2>"$dir/$name.log" &
	pids+=($!)
done
standin() { # name, data centre, pool, models, entry hosts
	./bin/geraniumctl standin --name "$1" --data-centre "$2" --pool "$3" --models "$4" \
		--hosts "$5" --token-file "$dir/announce" --listen 127.0.0.1:0 2>>"$dir/standin.log" &
	pids+=($!)
}
standin llegadas-1 gijon-a llegadas modelo-llegadas 127.0.11.1:18080,127.0.11.2:18080
standin llegadas-2 santander-a llegadas modelo-llegadas 127.0.12.1:18080
standin llegadas-3 bilbao-a llegadas modelo-llegadas 127.0.13.1:18080
standin registro-1 bilbao-a registro "" 127.0.13.1:18080

all=127.0.11.1:18080,127.0.11.2:18080,127.0.12.1:18080,127.0.13.1:18080
ctl() { ./bin/geraniumctl --hosts "$all" --token-file "$dir/operator" --operator quickstart "$@"; }
call() { ./bin/geraniumctl --hosts "$all" call "$@"; }
retry() { # retries a command up to 100 times, 0.2 s apart
	for _ in $(seq 100); do "$@" >"$dir/out" 2>&1 && { cat "$dir/out"; return; }; sleep 0.2; done
	cat "$dir/out" "$dir"/*.log >&2
	return 1
}
retry ctl init
retry ctl apply examples/cantabrico.rules --wait
key=$(ctl grant hoteles-gijon --wait)
echo "granted key ${key%_*}_..."

echo "--- a short request"
retry call /v1/chat/completions --key "$key" \
	--body '{"model":"modelo-llegadas","max_tokens":8,"messages":[{"role":"user","content":"Which ferry arrives next?"}]}'
echo "--- a long streamed response (last lines)"
call /v1/chat/completions --key "$key" \
	--body '{"model":"modelo-llegadas","max_tokens":200,"stream":true,"messages":[{"role":"user","content":"Digest of the month"}]}' | tail -n 4
echo "--- a non-idempotent request, sent twice with the same idempotency key"
retry call /registro/llegadas --key "$key" --idempotency-key filing-2026-12 --body '{"port":"Gijon","arrivals":412}'
call /registro/llegadas --key "$key" --idempotency-key filing-2026-12 --body '{"port":"Gijon","arrivals":412}'
echo "--- all requests succeeded"
if [ "$keep" = --keep ]; then
	echo "serving on $all; operator token file $dir/operator; key $key; press Ctrl-C to stop"
	wait
fi
