#!/usr/bin/env bash
# Installs the packages of packages.txt that are missing. Needs root only if something is missing.
set -eu
list=$(dirname "$0")/packages.txt
missing=()
while read -r package; do
    case "$package" in '#'*|'') continue ;; esac
    dpkg-query -W -f='${Status}' "$package" 2> /dev/null | grep -q 'install ok installed' || missing+=("$package")
done < "$list"
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
fi
