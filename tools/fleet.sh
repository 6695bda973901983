# Functions shared by tools/demo, tools/bench, tools/scale and
# tools/experiment: they start stand-ins and daemons on free ports of
# 127.0.0.1 and stop them by process id.  Source this file after setting
# BUILD.

fleet_dir=$(mktemp -d /tmp/azurewind-fleet-XXXXXX)
fleet_pids=""
unset http_proxy https_proxy

# start NAME PROGRAM ARGS...: runs a program and waits for its ready line.
start() {
  name=$1
  shift
  "$@" >"$fleet_dir/$name.out" 2>"$fleet_dir/$name.err" &
  fleet_pids="$! $fleet_pids"
  echo $! >"$fleet_dir/$name.pid"
  tries=0
  until grep -qs '^ready' "$fleet_dir/$name.out"; do
    tries=$((tries + 1))
    if [ $tries -gt 200 ]; then
      echo "$name did not start:" >&2
      cat "$fleet_dir/$name.err" >&2
      return 1
    fi
    sleep 0.05
  done
}

# port NAME [FIELD]: prints a number from the ready line of a program, by
# default that of the field port.
port() {
  sed -n "s/.*${2:-port}=\([0-9]*\).*/\1/p" "$fleet_dir/$1.out" | head -1
}

pid() {
  cat "$fleet_dir/$1.pid"
}

fleet_stop() {
  for p in $fleet_pids; do
    kill "$p" 2>/dev/null || true
  done
  for p in $fleet_pids; do
    wait "$p" 2>/dev/null || true
  done
  fleet_pids=""
  rm -rf "$fleet_dir"
}
trap fleet_stop EXIT
# A signal must end the script, not only the step that it interrupts.
trap 'exit 130' INT
trap 'exit 143' TERM

# start_platform: starts the stand-in platform and creates the cell's secret.
start_platform() {
  start platform "$BUILD/standin-platform" --listen 127.0.0.1:0
  AZUREWIND_PLATFORM="http://127.0.0.1:$(port platform)"
  export AZUREWIND_PLATFORM
  od -An -tx1 -N32 /dev/urandom | tr -d ' \n' >"$fleet_dir/secret"
}

# start_group NAME [OPTION...]: starts the endpoints NAME-1 to NAME-3, of which
# NAME-1 is the primary.  Each endpoint gets the options.
start_group() {
  group=$1
  shift
  start "$group-1" "$BUILD/standin-postgres" --auto-rebuild "$@"
  for replica in 2 3; do
    start "$group-$replica" "$BUILD/standin-postgres" --auto-rebuild \
      --primary "127.0.0.1:$(port "$group-1")" "$@"
  done
}

# service_toml NAME PLACE...: prints the settings of a service whose group is
# started.  Each PLACE is that of one endpoint; the last one is repeated.
service_toml() {
  service=$1
  shift
  printf '[services.%s]\ndatabase = "ledger"\nuser = "azurewind"\n' "$service"
  for n in 1 2 3; do
    printf '[services.%s.endpoints.db-%s]\nhost = "127.0.0.1"\nport = %s\n' \
      "$service" "$n" "$(port "$service-$n")"
    printf 'place = "%s"\n' "$1"
    if [ $# -gt 1 ]; then shift; fi
  done
}

# start_daemon NAME CELL [OPTION...]: starts a daemon of the cell.
start_daemon() {
  daemon=$1 cell=$2
  shift 2
  start "$daemon" "$BUILD/azurewindd" --name "$daemon" \
    --failure-domain "domain-${daemon##*-}" --listen 127.0.0.1:0 \
    --admin-listen 127.0.0.1:0 --peer-listen 'tcp://127.0.0.1:*' \
    --platform "$AZUREWIND_PLATFORM" --cell "$cell" \
    --secret-file "$fleet_dir/secret" "$@"
}

status() {
  curl -sf "http://127.0.0.1:$(port "$1" admin)/status"
}

# wait_ready SERVICES DAEMON...: waits until each daemon passes its health
# check, has a fraction of every budget and reports all services as writable.
wait_ready() {
  services=$1
  shift
  for d in "$@"; do
    tries=0
    until curl -sf "http://127.0.0.1:$(port "$d")/v1/health" >/dev/null &&
      [ "$(status "$d" | grep -c '"writable": true')" = "$services" ] &&
      ! status "$d" | grep -q '"tokens": 0\.0*,'; do
      tries=$((tries + 1))
      if [ $tries -gt 600 ]; then
        echo "$d is not ready" >&2
        return 1
      fi
      sleep 0.1
    done
  done
}

# query DAEMON KEY BODY [SESSION]: sends a request and prints the reply.
# SESSION is a session token.
query() {
  curl -s -H "Authorization: Bearer $2" ${4:+-H "Azurewind-Session: $4"} \
    -d "$3" "http://127.0.0.1:$(port "$1")/v1/query"
  echo
}
