#!/usr/bin/env bash
# Starts the stand-ins and nine daemons in three failure domains on loopback,
# shows the fleet at work, and ends everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh

fleet_begin
finish() {
	status=$?
	fleet_end
	if [ $status -ne 0 ]; then
		echo "logs: $run" >&2
	else
		rm -rf "$run"
	fi
}
trap finish EXIT

domains=(tetouan rabat fes)
ids=()
for n in 1 2 3; do for domain in "${domains[@]}"; do ids+=("$domain-$n"); done; done

"$bin/shallotctl" certs --dir "$run/keys" "${ids[@]}"
fleet_platform
for n in 0 1 2 3; do
	for s in "registre-steles 3" "bons-chantier 3" "tableau-equipes 3" "stone-catalogue 6" "wheel-roster 6" "batch-ledger 6"; do
		set -- $s
		fleet_upstream "$1" "$1-$n" "${domains[$((n % 3))]}" "$2"
	done
done
for id in "${ids[@]}"; do fleet_daemon "$id" "${id%-*}"; done

export SHALLOTCTL_KEY=$admin_key
SHALLOTCTL_ADMIN=$(printf '%s\n' "${daemons[@]}" | cut -d, -f2 | paste -sd,)
export SHALLOTCTL_ADMIN
for _ in $(seq 100); do
	"$bin/shallotctl" service list >/dev/null 2>&1 && break
	sleep 0.1
done
for file in examples/*/*.yaml; do "$bin/shallotctl" service apply -f "$file"; done

arguments=()
for d in "${daemons[@]}"; do arguments+=(--daemon "$d"); done
for u in "${upstreams[@]}"; do arguments+=(--upstream "$u"); done
"$bin/standin" demo --key "$admin_key" "${arguments[@]}"
