# Sourced by the measuring scripts: daemons on loopback addresses 127.7.0.N, in a folder that is removed at the end.
# REPLICAS names the VMs that hold the log, as a TOML list's content. shellcheck shell=bash
REPLICAS=${REPLICAS:-'"vm-1", "vm-2", "vm-3"'}
work=$(mktemp -d)
started=()
stop_daemons() {
    for pid in "${started[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${started[@]}"; do wait "$pid" 2>/dev/null || true; done
    started=()
}
trap 'stop_daemons; rm -rf "$work"' EXIT

settings() { # VM, daemons
    echo "vm = \"vm-$1\""
    echo "data_centre = \"dc-$((($1 - 1) % 3))\""
    echo "http_address = \"127.7.0.$1:8080\""
    echo "rpc_address = \"127.7.0.$1:8081\""
    echo "data_folder = \"$work/data-$1\""
    echo "replicas = [$REPLICAS]"
    for ((peer = 1; peer <= $2; ++peer)); do
        [ "$peer" = "$1" ] || printf '[[peer]]\nvm = "vm-%d"\nrpc_address = "127.7.0.%d:8081"\n' "$peer" "$peer"
    done
}
ready() { curl -sf -o /dev/null "http://127.7.0.$1:8080/readyz"; }
# Starts so many daemons, applies the declarations of examples/, and waits until all are ready.
start_daemons() { # daemons
    rm -rf "${work:?}"/*
    for ((vm = 1; vm <= $1; ++vm)); do
        settings "$vm" "$1" >"$work/$vm.toml"
        "$bin/cumindyked" --settings "$work/$vm.toml" 2>"$work/$vm.log" &
        started+=($!)
    done
    mkdir "$work/declarations"
    cp examples/*.toml "$work/declarations"
    for _ in $(seq 100); do "$bin/cumindykectl" apply "$work/declarations" --server 127.7.0.1:8081 >/dev/null 2>&1 && break; sleep 0.2; done
    for ((vm = 1; vm <= $1; ++vm)); do
        for _ in $(seq 300); do ready "$vm" && break; sleep 0.1; done
    done
}
