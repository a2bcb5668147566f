# Functions for scripts that run the system as processes on loopback. The
# script that reads this sets `work`, a folder of its own, and `build`.

bin="$PWD/$build/bin"
crowlink="$PWD/$build/packages/client/crowlink"
pids=()

# Ends every process that was started here, and no other.
stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -9 "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

# NAME COMMAND...: starts a process, which writes to NAME.log; sets pid_NAME.
start() {
  local name="$1"
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pids+=("$!")
  declare -g "pid_$name=$!"
}

# NAME: kills a process without warning.
kill_hard() {
  local pid="pid_$1"
  kill -9 "${!pid}"
  wait "${!pid}" 2>/dev/null || true
}

fail() {
  echo "$0: $*" >&2
  tail -n 3 "$work"/*.log >&2 || true
  exit 1
}

# SECONDS COMMAND...: tries until it succeeds or the time is over.
until_true() {
  local ends=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$ends" ] || return 1
    sleep 0.1
  done
}

# Ports that nobody uses now, from below the range that the kernel gives out.
used_ports="$(cat /proc/net/udp /proc/net/tcp | awk '{print $2}' |
  cut -d: -f2)"
next_port=$((15000 + $$ % 10000))

# VARIABLE: sets it to a free port.
port() {
  next_port=$((next_port + 1))
  while grep -qi "^$(printf %04X "$next_port")\$" <<<"$used_ports"; do
    next_port=$((next_port + 1))
  done
  declare -g "$1=$next_port"
}

# Makes an operator's token and the control hosts' file of operators.
make_operator() {
  "$crowlink" token demo >"$work/minted"
  sed -n 's/^token *//p' "$work/minted" >"$work/token"
  printf '{"operators": [%s]}\n' "$(sed -n 's/^entry *//p' "$work/minted")" \
    >"$work/operators.jsonc"
  chmod 600 "$work/token" "$work/operators.jsonc"
}

# NAME: the part of the settings that all hosts have.
host_settings() {
  echo "\"host\": {\"name\": \"$1\", \"place\": \"quezon\"," \
    "\"region\": \"ncr\"}, \"log\": {\"level\": \"${log_level:-info}\"}"
}
