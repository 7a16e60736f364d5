#!/usr/bin/env bash
# Fails when a name of the users' wire appears outside the adapter.
set -euo pipefail
cd "$(dirname "$0")/.."

names='X-Attempt-Id|X-Deadline-Ms|X-Expect-Instance|X-Not-Executed|X-Instance-Id|X-Response-Signature'
names+='|/-/objects|/-/resolve|/-/readyz|allow_stale|store_revision|has_more'
names+='|max_concurrency|warmup_left_ms|heartbeat_ms|route_type|path_prefix|target_latency_ms|non_idempotent|max_attempts'
names+='|X-Tenant|api_keys|rate_per_s'

names+='|Store-Era'

if grep -rnE --include='*.go' "$names" cmd pkg internal; then
	echo "names of the users' wire belong in platform/ only" >&2
	exit 1
fi
