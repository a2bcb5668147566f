#!/usr/bin/env bash
# The whole path on loopback, as separate processes: one control host, two
# balancers, three agents, three upstreams, a fabric that sprays each packet
# over the balancers at random, and callers of two services. Midway a balancer
# is killed and an upstream is drained. Prints where each flow went and ends
# with 0 if every datagram was answered by the right service, and each flow by
# one upstream only.
set -euo pipefail
cd "$(dirname "$0")"

build=build/release
if [ ! -x "$build/bin/crowlinkd" ] || [ "${1:-}" != "--no-build" ]; then
  cmake --preset release
  cmake --build --preset release --target crowlinkd crowlink \
    crowlink_echo_upstream crowlink_spray_fabric crowlink_udp_callers
fi
work="$(mktemp -d)"
source bench/processes/processes.sh
trap 'stop_all; rm -rf "$work"' EXIT

for name in http peer node hiraman katalogo gateway listen_1 listen_2 \
  tunnel_1 tunnel_2 agent_1 agent_2 agent_3 upstream_1 upstream_2 \
  upstream_3; do
  port "$name"
done

make_operator

# A key pair for each host, one packet key for all, and what each key may do.
"$crowlink" keys new --packet 1 "$work/packet.key" >/dev/null
grants=""
make_key() { # HOST ROLE [SERVICE]: makes a key pair and grants it a role
  local public services=""
  public="$("$crowlink" keys new "$work/$1.key" | awk '{print $2}')"
  [ $# -lt 3 ] || services=", \"services\": [$3]"
  grants+="${grants:+,
  }{\"public_key\": \"$public\", \"holder\": \"$1\",
   \"roles\": [\"$2\"]$services}"
}
make_key control-1 control
make_key balancer-1 balancer
make_key balancer-2 balancer
make_key host-1 agent 1
make_key host-2 agent 1
make_key host-3 agent 2
echo "{\"keys\": [$grants]}" >"$work/allowed.jsonc"
control_key="$("$crowlink" keys show "$work/control-1.key" | awk '{print $2}')"
keys() { # HOST: a node's keys
  echo "\"keys\": {\"own\": \"$1.key\", \"packet\": [\"packet.key\"]}"
}

control_is="\"control_endpoints\": [{\"host\": \"control-1\",
  \"place\": \"quezon\", \"region\": \"ncr\", \"address\": \"127.0.0.1:$node\",
  \"public_key\": \"$control_key\"}]"

cat >"$work/control-1.jsonc" <<END
{ $(host_settings control-1),
  "keys": {"own": "control-1.key", "allowed": "allowed.jsonc"},
  "control": {
    "data_folder": "data", "peer_listen": "127.0.0.1:$peer",
    "node_listen": "127.0.0.1:$node", "http": "127.0.0.1:$http",
    "tokens_file": "operators.jsonc",
    "peers": [{"host": "control-1", "place": "quezon", "region": "ncr",
               "address": "127.0.0.1:$peer",
               "public_key": "$control_key"}] } }
END
for i in 1 2; do
  listen="listen_$i" tunnel="tunnel_$i"
  cat >"$work/balancer-$i.jsonc" <<END
{ $(host_settings "balancer-$i"), $(keys "balancer-$i"), $control_is,
  "balancer": { "mode": "ip_in_udp", "listen": ["127.0.0.1:${!listen}"],
    "tunnel": "127.0.0.1:${!tunnel}", "gateway": "127.0.0.1:$gateway" } }
END
done
names=(none hiraman-1 hiraman-2 katalogo-1)
services=(0 1 1 2)
labels=(none Hiraman Hiraman Katalogo)
for i in 1 2 3; do
  agent="agent_$i" upstream="upstream_$i"
  cat >"$work/agent-$i.jsonc" <<END
{ $(host_settings "host-$i"), $(keys "host-$i"), $control_is,
  "agents": [{ "upstream": "${names[$i]}", "service": ${services[$i]},
    "upstream_address": "127.0.0.1:${!upstream}",
    "tunnel": "127.0.0.1:${!agent}", "drain_seconds": 5 }] }
END
done
cat >"$work/services.jsonc" <<END
{ "regions": [{"name": "ncr", "places": ["quezon"]}],
  "services": [
    {"id": 1, "name": "hiraman", "protocol": "udp",
     "addresses": ["127.0.0.1:$hiraman"], "cold_start_s": 0},
    {"id": 2, "name": "katalogo", "protocol": "udp",
     "addresses": ["127.0.0.1:$katalogo"], "cold_start_s": 0}] }
END

for file in "$work"/control-1.jsonc "$work"/balancer-*.jsonc \
  "$work"/agent-*.jsonc; do
  "$bin/crowlinkd" --check "$file" >/dev/null || fail "wrong settings"
done

echo "== starting control, 2 balancers, 3 agents, 3 upstreams, the fabric"
for i in 1 2 3; do
  upstream="upstream_$i"
  start "upstream_$i" "$bin/crowlink_echo_upstream" \
    --listen "127.0.0.1:${!upstream}" --service "${labels[$i]}" \
    --name "${names[$i]}"
done
start control "$bin/crowlinkd" "$work/control-1.jsonc"
for i in 1 2; do
  start "balancer_$i" "$bin/crowlinkd" "$work/balancer-$i.jsonc"
done
for i in 1 2 3; do
  start "agent_$i" "$bin/crowlinkd" "$work/agent-$i.jsonc"
done
start fabric "$bin/crowlink_spray_fabric" --seed 7 \
  --service "127.0.0.1:$hiraman" --service "127.0.0.1:$katalogo" \
  --balancer "127.0.0.1:$listen_1" --balancer "127.0.0.1:$listen_2" \
  --gateway "127.0.0.1:$gateway"

operator() { # SUBCOMMAND ARGUMENTS...
  local subcommand="$1"
  shift
  "$crowlink" "$subcommand" --server "http://127.0.0.1:$http" \
    --token-file "$work/token" "$@"
}
all_there() { # every upstream announced itself to control
  [ "$(operator status | grep -cE 'hiraman-[12]|katalogo-1')" -eq 3 ]
}
callers() { # ARGUMENTS...: callers of both services
  "$bin/crowlink_udp_callers" --service "Hiraman=127.0.0.1:$hiraman" \
    --service "Katalogo=127.0.0.1:$katalogo" "$@"
}

echo "== the operator declares the services"
until_true 20 operator apply "$work/services.jsonc" ||
  fail "the document was not taken"
until_true 30 all_there || fail "the upstreams did not announce themselves"
until_true 20 callers --flows 2 --messages 1 --tries 1 ||
  fail "no datagram was answered"

echo "== 24 flows; balancer-2 is killed and hiraman-1 drained meanwhile"
callers --flows 24 --messages 40 --gap-ms 100 >"$work/first" &
calling=$!
sleep 1.5
kill_hard balancer_2
echo "   killed balancer-2"
sleep 0.5
operator drain hiraman-1 >/dev/null || fail "the drain was not taken"
echo "   drained hiraman-1"
wait "$calling" || { cat "$work/first"; fail "flows were broken"; }
cat "$work/first"

echo "== 12 new flows: none may go to hiraman-1"
callers --flows 12 --messages 5 >"$work/second" ||
  { cat "$work/second"; fail "flows were broken"; }
cat "$work/second"
! grep -q 'upstream=hiraman-1' "$work/second" ||
  fail "a drained upstream got a new flow"

echo "== stopping; agents and balancer-1 drain"
for name in agent_1 agent_2 agent_3 balancer_1 control; do
  pid="pid_$name"
  kill -TERM "${!pid}"
done
for name in agent_1 agent_2 agent_3 balancer_1 control; do
  pid="pid_$name"
  wait "${!pid}" || fail "$name did not end with 0"
done
echo "== all datagrams answered by the right service"
