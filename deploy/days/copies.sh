#!/usr/bin/env bash
# Writes copies of a site file with other lengths and heights of rushes and other
# times of moves, for measurements on installations that differ from it:
#     deploy/days/copies.sh SITE.toml DIRECTORY
set -euo pipefail
site=$1
out=$2
mkdir -p "$out"
cp "$(dirname "$site")/wire.json" "$out/"
name=$(basename "$site" .toml)

# copy NAME SED-EXPRESSION...
copy() {
	local to="$out/$name-$1.toml"
	shift
	local expressions=()
	for expression in "$@"; do
		expressions+=(-e "$expression")
	done
	sed -E "${expressions[@]}" "$site" >"$to"
	if cmp -s "$site" "$to"; then
		echo "$to does not differ from $site" >&2
		exit 1
	fi
}

for seconds in 0.5 3.0 4.0; do
	copy "moves-$seconds" "s/^move_s = .*/move_s = $seconds/"
done
for seconds in 2.5 9.0 12.0; do
	copy "turns-$seconds" "s/(kind = \"turns\".*period_s = )[0-9.]+/\\1$seconds/"
done

# irregular NAME VALUE...: the queues' rushes get the values given, in the order in
# which the queues appear; KEY is the field that is set.
irregular() {
	local to="$out/$name-$1.toml" key=$2
	shift 2
	awk -v key="$key" -v values="$*" '
		BEGIN { count = split(values, value, " ") }
		/kind = "turns"/ {
			match($0, /mix = \{ [^ ]+/)
			queue = substr($0, RSTART, RLENGTH)
			if (!(queue in rank)) rank[queue] = queues++ % count + 1
			sub(key " = [0-9.]+", key " = " value[rank[queue]])
		}
		{ print }' "$site" >"$to"
}

irregular periods period_s 4.1 6.7 5.3 3.6
irregular together phase 0.0 0.0 2.0 2.0
irregular reordered phase 2.0 0.0 3.0 1.0

for height in 1.5 6.0; do
	copy "rushes-$height" "s/(kind = \"turns\", to = )[0-9.]+/\\1$height/"
done
