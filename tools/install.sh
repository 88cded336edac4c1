#!/usr/bin/env bash
# Installs what building and testing need, from Debian's packages. Idempotent and quiet.
set -euo pipefail
packages=(python3 g++ cmake ninja-build ccache clang-format clang-tidy jq curl
    libcaf-dev libboost1.81-dev libboost-context1.81-dev libwebsocketpp-dev nlohmann-json3-dev
    libvalijson-dev libcxxopts-dev liblog4cplus-dev libcppunit-dev librapidcheck-dev
    libbenchmark-dev libxxhash-dev libssl-dev libsimdjson-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' \
        || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends \
    "${missing[@]}" >/dev/null
