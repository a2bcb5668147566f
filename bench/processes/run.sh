#!/usr/bin/env bash
# Failures of real processes on loopback: five control hosts and a number of
# nodes. While an operator makes changes, one after the other, the leader and
# then another control host are killed. Then a control host and some nodes are
# stopped for a while, changes pass them by, and they are continued. Each change
# must come into force at every living node, and no node may ever go back.
#
#   bench/processes/run.sh [--nodes N] [--changes N] [--stop SECONDS]
#
# Prints the time from the acknowledgement of a change to its being in force at
# a node, by the machine's clock: median, 99th percentile and worst.
set -euo pipefail
cd "$(dirname "$0")/../.."

nodes=50
changes=300
stop_seconds=60
while [ $# -gt 0 ]; do
  case "$1" in
    --nodes) nodes="$2" ;;
    --changes) changes="$2" ;;
    --stop) stop_seconds="$2" ;;
    *) echo "unknown argument $1" >&2 && exit 2 ;;
  esac
  shift 2
done

build=build/release
work="$(mktemp -d)"
source bench/processes/processes.sh
trap 'stop_all; rm -rf "$work"' EXIT

controls="1 2 3 4 5"
for i in $controls; do
  port "peer_$i"
  port "node_$i"
  port "http_$i"
done
make_operator

peers=""
endpoints=""
servers=()
for i in $controls; do
  peer="peer_$i" node="node_$i" http="http_$i"
  where="\"host\": \"control-$i\", \"place\": \"quezon\", \"region\": \"ncr\""
  peers+="${peers:+, }{$where, \"address\": \"127.0.0.1:${!peer}\"}"
  endpoints+="${endpoints:+, }{$where, \"address\": \"127.0.0.1:${!node}\"}"
  servers+=(--server "http://127.0.0.1:${!http}")
done
for i in $controls; do
  peer="peer_$i" node="node_$i" http="http_$i"
  cat >"$work/control-$i.jsonc" <<END
{ $(host_settings "control-$i"),
  "control": {
    "data_folder": "data-$i", "peer_listen": "127.0.0.1:${!peer}",
    "node_listen": "127.0.0.1:${!node}", "http": "127.0.0.1:${!http}",
    "tokens_file": "operators.jsonc", "peers": [$peers] } }
END
  start "control_$i" "$bin/crowlinkd" "$work/control-$i.jsonc"
done
for ((n = 1; n <= nodes; n++)); do
  port tunnel
  cat >"$work/node-$n.jsonc" <<END
{ $(host_settings "node-$n"), "control_endpoints": [$endpoints],
  "agents": [{ "upstream": "upstream-$n", "service": 1,
    "upstream_address": "127.0.0.1:9", "tunnel": "127.0.0.1:$tunnel",
    "drain_seconds": 0 }] }
END
  start "node_$n" "$bin/crowlinkd" "$work/node-$n.jsonc"
done

document() { # NUMBER: a document that differs from the others
  cat <<END
{ "regions": [{"name": "ncr", "places": ["quezon"]}],
  "services": [{"id": 1, "name": "hiraman", "protocol": "udp",
    "addresses": ["127.0.0.1:9"], "limits": {"connections": $((1000 + $1))}}] }
END
}
operator() { # SUBCOMMAND ARGUMENTS...
  local subcommand="$1"
  shift
  "$crowlink" "$subcommand" "${servers[@]}" --token-file "$work/token" "$@"
}
# NUMBER: makes one change, sent again under one operation until it is taken.
change() {
  document "$1" >"$work/document.jsonc"
  local tries=0
  until operator apply --operation "bench-$$-$1" --base $(($1 - 1)) \
    "$work/document.jsonc" >"$work/applied" 2>&1; do
    tries=$((tries + 1))
    [ "$tries" -lt 40 ] || fail "change $1 was not taken: $(cat "$work/applied")"
    sleep 0.1
  done
  echo "$1 $((${EPOCHREALTIME/./} / 1000))" >>"$work/acknowledged"
}
in_force() { # VERSION NODE...: whether each of these nodes has it
  local version="$1" n
  shift
  for n in "$@"; do
    [ "$(grep -o 'version_in_force version=[0-9]*' "$work/node_$n.log" |
      tail -n 1 | cut -d= -f2)" = "$version" ] || return 1
  done
}
leader() { # the number of the control host that leads
  operator members 2>/dev/null | grep leader | sed 's/^control-\([0-9]\).*/\1/'
}
all_nodes="$(seq 1 "$nodes")"

until_true 60 change 1 || fail "no change was taken"
until_true 60 in_force 1 $all_nodes || fail "not all nodes attached"
echo "== $nodes nodes attached; $changes changes, two control hosts are killed"
first_kill=$((changes / 3))
second_kill=$((2 * changes / 3))
for ((c = 2; c <= changes; c++)); do
  if [ "$c" -eq "$first_kill" ]; then
    first="$(leader)"
    kill_hard "control_$first"
    echo "   change $c: killed the leader, control-$first"
  elif [ "$c" -eq "$second_kill" ]; then
    second=$(((first % 5) + 1))
    kill_hard "control_$second"
    echo "   change $c: killed control-$second"
  fi
  change "$c"
done
until_true 60 in_force "$changes" $all_nodes ||
  fail "the last change is not in force at all nodes"

# The times of these changes, before anything is stopped.
report() {
  for n in $all_nodes; do
    sed -n 's/.*version_in_force version=\([0-9]*\) at_ms=\([0-9]*\).*/\1 \2/p' \
      "$work/node_$n.log" | sed "s/^/$n /"
  done | awk '
    FNR == NR { ack[$1] = $2; if ($1 > last) last = $1; next }
    $2 <= seen[$1] { print "node " $1 " went back to " $2 > "/dev/stderr"; bad = 1 }
    { for (v = seen[$1] + 1; v <= $2 && v <= last; v++)
        if (v > 1) print ($3 > ack[v] ? $3 - ack[v] : 0)
      seen[$1] = $2 }
    END { exit bad }' "$work/acknowledged" - >"$work/times" ||
    fail "a node went back"
  sort -n "$work/times" | awk '
    { t[NR] = $1 }
    END { printf "in force at a node, ms after the acknowledgement: median %d, " \
            "99th percentile %d, worst %d (%d pairs of change and node)\n",
            t[int((NR + 1) / 2)], t[int((99 * NR + 99) / 100)], t[NR], NR }'
}
report
uptime

echo "== the killed control hosts are started again; stopping 5 nodes and one" \
  "control host for $stop_seconds s"
start "control_$first" "$bin/crowlinkd" "$work/control-$first.jsonc"
start "control_$second" "$bin/crowlinkd" "$work/control-$second.jsonc"
stopped="control_$((second % 5 + 1)) node_1 node_2 node_3 node_4 node_5"
for name in $stopped; do
  pid="pid_$name"
  kill -STOP "${!pid}"
done
ends=$((SECONDS + stop_seconds))
last="$changes"
while [ "$SECONDS" -lt "$ends" ]; do
  last=$((last + 1))
  change "$last"
  sleep 0.5
done
for name in $stopped; do
  pid="pid_$name"
  kill -CONT "${!pid}"
done
continued="${EPOCHREALTIME/./}"
until_true 60 in_force "$last" $all_nodes ||
  fail "a continued node did not catch up"
echo "   $((last - changes)) changes passed them by; all nodes hold the last one" \
  "$(((${EPOCHREALTIME/./} - continued) / 1000)) ms after they were continued"
for n in $all_nodes; do
  sed -n 's/.*version_in_force version=\([0-9]*\).*/\1/p' "$work/node_$n.log" |
    sort -nuc || fail "node $n went back"
done
at_last() { # every control host holds the last version
  local i http
  for i in $controls; do
    http="http_$i"
    "$crowlink" status --server "http://127.0.0.1:${!http}" \
      --token-file "$work/token" | grep -qw "$last" || return 1
  done
}
until_true 60 at_last || fail "a control host does not hold the last version"
echo "== all five control hosts and all nodes hold version $last; none went back"
