# Functions that start and end the processes of a local fleet; sourced by other
# scripts. All processes listen on loopback.
#
#   fleet_begin            makes $run, a directory for settings and logs
#   fleet_platform         starts the platform stand-in
#   fleet_upstream SERVICE NAME DOMAIN SLOTS   starts and registers an upstream
#   fleet_daemon ID DOMAIN starts and registers a daemon
#   fleet_end              ends every process that was started

bin=${bin:-bin}
base_port=${BASE_PORT:-21000}
admin_key=demo-key-of-all-teams
region=${region:-maroc-nord}
pids=()
daemons=()
upstreams=()
platform_url=http://127.0.0.1:$base_port
next_port=$((base_port + 1))

fleet_begin() { run=$(mktemp -d); }

fleet_port() { port=$next_port; next_port=$((next_port + 1)); }

# fleet_start LOG COMMAND... runs a command in the background and remembers it.
fleet_start() {
	local log=$1
	shift
	"$@" >"$run/$log.log" 2>&1 &
	last_pid=$!
	pids+=("$last_pid")
}

fleet_platform() {
	fleet_start platform "$bin/standin" platform --listen "127.0.0.1:$base_port"
	for _ in $(seq 100); do
		"$bin/standin" register --platform "$platform_url" --id probe --role probe --domain none 2>/dev/null && return
		sleep 0.05
	done
	echo "the platform stand-in does not answer" >&2
	return 1
}

fleet_upstream() {
	local service=$1 name=$2 domain=$3 slots=$4
	fleet_port
	fleet_start "$name" "$bin/standin" upstream --name "$name" --listen "127.0.0.1:$port" --slots "$slots"
	"$bin/standin" register --platform "$platform_url" --id "$name" --role upstream --service "$service" \
		--address "127.0.0.1:$port" --region "$region" --domain "$domain" --slots "$slots"
	upstreams+=("$service,$name,127.0.0.1:$port")
}

fleet_daemon() {
	local id=$1 domain=$2
	fleet_port; local callers=127.0.0.1:$port
	fleet_port; local peers=127.0.0.1:$port
	fleet_port; local admin=127.0.0.1:$port
	cat >"$run/$id.yaml" <<YAML
region: $region
domain: $domain
listen: {callers: "$callers", peers: "$peers", admin: "$admin"}
platform: {addresses: ["$platform_url"]}
peers: {ca: $run/keys/ca.pem, certificate: $run/keys/$id.pem, key: $run/keys/$id-key.pem}
admin: {keys: [{team: "*", key: $admin_key}]}
addresses: {lifetime: ${lifetime:-1s}}
YAML
	"$bin/standin" register --platform "$platform_url" --id "$id" --role daemon --address "$callers" \
		--peer-address "$peers" --region "$region" --domain "$domain"
	fleet_start "$id" "$bin/shallotgladed" --config "$run/$id.yaml"
	daemons+=("$callers,$admin,$domain")
}

fleet_end() {
	local p
	for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null || true; done
	for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
	pids=()
}
