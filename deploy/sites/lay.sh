#!/bin/sh
# Lays one of our variants over a site file of the kit, with the files that the bench reads beside a site.
#     sh deploy/sites/lay.sh VARIANT SITE OUT
# VARIANT is harbour or press, SITE a site file, OUT a folder for the result, which git ignores when it is
# deploy/sites/out. A variant's keys before its first table take the place of the site's own; each of its
# tables takes the place of all the site's tables of that name, and what the site lacks comes last.
set -eu
if [ $# -ne 3 ]; then
    echo "usage: lay.sh VARIANT SITE OUT" >&2
    exit 2
fi
here=$(CDPATH='' cd -- "$(dirname -- "$0")" && pwd)
over=$here/$1.toml
site=$2
for file in "$over" "$site"; do
    [ -r "$file" ] || { echo "lay.sh: cannot read $file" >&2; exit 1; }
done
mkdir -p "$3"
for beside in real.json wire.json unlock.txt; do
    from=$(dirname -- "$site")/$beside
    [ -r "$from" ] || { echo "lay.sh: there is no $beside beside $site" >&2; exit 1; }
    cp -f "$from" "$3/$beside"
done
chmod u+w "$3/real.json" "$3/wire.json" "$3/unlock.txt"
awk '
    function key(line) { sub(/[ \t]*=.*/, "", line); return line }
    # The variant: the text of each table by its header, and the keys that come before all tables.
    FNR == NR {
        if ($0 ~ /^\[/) {
            header = $0
            if (!(header in text)) order[++tables] = header
        }
        if (header != "") text[header] = text[header] $0 "\n"
        else if ($0 ~ /=/) own[key($0)] = $0
        next
    }
    /^\[/ {
        skip = $0 in text
        if (skip && !($0 in laid)) {
            printf "%s", text[$0]
            laid[$0] = 1
        }
        inTables = 1
    }
    skip { next }
    !inTables && (key($0) in own) { print own[key($0)]; next }
    { print }
    END { for (i = 1; i <= tables; i++) if (!(order[i] in laid)) printf "\n%s", text[order[i]] }
' "$over" "$site" > "$3/$1.toml"
echo "$3/$1.toml"
