#!/usr/bin/env bash
# Nine coordinators in three halls, faultTolerance.hostsLost=2 and faultTolerance.zones=1. A configuration is
# acknowledged; then the machines of one hall lose their disks and come back empty. The operator reads back.
# Exit: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: the same without the loss.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program=target/release/shaletrail
trouble=${TROUBLE:-1}
record="$here/record.txt"
: > "$record"
work=$(mktemp -d)
declare -A pid
stop_all() {
  for process in "${pid[@]}"; do kill -KILL "$process" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap stop_all EXIT
start_ms=$(date +%s%3N)
say() { printf '%7.2f s  %s\n' "$(( ($(date +%s%3N) - start_ms) / 10 ))e-2" "$*" >> "$record"; }
[ -x "$program" ] || { say "no $program"; exit 2; }

octet=$((RANDOM % 150 + 60))
control=$((RANDOM % 8000 + 20000))
internal=$((control + 1))
cores=() # addresses; the machines of a hall have neighbouring addresses, as on the pages
declare -A hall
for h in 1 2 3; do
  for n in 1 2 3; do
    cores+=("127.$octet.$h.$n")
    hall["127.$octet.$h.$n"]="hall-$h"
  done
done
seeds="127.$octet.1.1:$control,127.$octet.2.1:$control,127.$octet.3.1:$control" # one in each hall

settings() { # ADDRESS BOOTSTRAP
  cat > "$work/$1.conf" <<END
nodeName=core-$1
role=coordinator
machineClass=core
serves=control
ip=$1
zone=${hall[$1]}
region=zagreb
zones.hall-1=zagreb
zones.hall-2=zagreb
zones.hall-3=zagreb
listenersMap.controlPlane=$1:$control
ephemeralPorts=$internal,$((internal + 15))
seedNodes=$seeds
bootstrap=$2
countsForQuorum=true
dataDir=$work/$1
limits.memoryMb=256
limits.maxFds=4096
limits.diskMb=128
heartbeatMs=1200
guarantees=base,drain,config,cost,retry,recover,fleet,stream,engine
faultTolerance.hostsLost=2
faultTolerance.zones=1
faultTolerance.regions=0
bounds.contactMs=4000
bounds.ackTimeoutMs=5000
bounds.syncS=6
bounds.recoveryS=15
END
}
start() { # ADDRESS BOOTSTRAP
  settings "$1" "$2"
  mkdir -p "$work/$1"
  SHALETRAIL_BOOT="$work/$1.conf" "$program" coordinator >> "$work/$1.log" 2>&1 &
  pid[$1]=$!
}
call() { # ADDRESS METHOD PATH BASE BODY: prints the status line and the last line of the answer, or "no answer"
  local answer
  answer=$(timeout 2 bash -c 'exec 3<>"/dev/tcp/$1/$2" || exit
    printf "%s %s HTTP/1.1\r\nHost: control\r\nBase-Version: %s\r\nContent-Type: application/json\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s" \
      "$3" "$4" "$5" "${#6}" "$6" >&3
    cat <&3' call "$1" "$control" "$2" "$3" "$4" "$5" 2>/dev/null | tr -d '\r')
  [ -n "$answer" ] || { echo "no answer"; return; }
  printf '%s | %s\n' "$(head -n 1 <<< "$answer")" "$(tail -n 1 <<< "$answer")"
}
change() { # VERSION BASE: sends the configuration to one node after another until one acknowledges it
  local body answer address
  body="{\"version\":$1,\"limits\":{},\"services\":[{\"name\":\"web\"}],\"routes\":[{\"name\":\"all\",\"host\":\"app.example\",\"pathPrefix\":\"/\",\"type\":\"idempotent\",\"timeoutMs\":$((2000 + $1)),\"service\":\"web\"}]}"
  for _ in $(seq 8); do
    for address in "${cores[@]}"; do
      answer=$(call "$address" POST /Config.Replace "$2" "$body")
      say "version $1 sent to $address (${hall[$address]}): $answer"
      case $answer in *" 200 "*) return 0 ;; esac
      sleep 0.2
    done
  done
  return 1
}

for address in "${cores[@]}"; do start "$address" true; done
say "nine coordinators started, seeds $seeds, hostsLost=2, zones=1"
sleep 1
change 1 0 || exit 2
sleep 12 # syncS is long over, all nine are up
change 2 1 || exit 2

if [ "$trouble" != 0 ]; then
  for address in "${cores[@]}"; do
    [ "${hall[$address]}" = hall-1 ] || continue
    kill -KILL "${pid[$address]}"
    wait "${pid[$address]}" 2>/dev/null
    rm -rf "${work:?}/$address"
    say "$address (hall-1) has lost its process and its disk"
  done
  sleep 2
  for address in "${cores[@]}"; do
    [ "${hall[$address]}" = hall-1 ] || continue
    start "$address" false
    say "$address (hall-1) is back at its address, with an empty disk and bootstrap=false"
  done
fi

# recoveryS is 15 s and contactMs 4 s: the operator asks for more than twice as long.
newest=0
asked_from=$(date +%s)
while [ $(($(date +%s) - asked_from)) -lt 45 ]; do
  for address in "${cores[@]}"; do
    answer=$(call "$address" GET /Config.Read 0 "")
    say "read at $address (${hall[$address]}): $answer"
    case $answer in
      *" 200 "*) newest=$(grep -o '"version":[0-9]*' <<< "$answer" | head -n 1 | cut -d: -f2) ;;
    esac
    [ "${newest:-0}" -ge 2 ] && break 2
  done
  sleep 1
done
for address in "${cores[@]}"; do
  kill -0 "${pid[$address]}" 2>/dev/null || say "$address no longer runs"
done
if [ "${newest:-0}" -ge 2 ]; then
  say "held: version $newest was read back"
  exit 0
fi
say "broken: version 2 was acknowledged, and no node answered a read with it in 45 s"
exit 1
