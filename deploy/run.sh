#!/usr/bin/env bash
# Starts one dispatcher with a heap that follows the memory it may take, as LB_CONFIG tells.
# Nothing but the shell's own words until the exec: where forks are refused, a pipeline ends the start.
# The runtime itself, class data, compiled code, stacks and buffers take some 45 MB beside the heap.
set -euf
own=45
usual=192
if [ -z "${LB_CONFIG-}" ]; then
    echo "$0: LB_CONFIG: names no configuration file" >&2
    exit 2
fi
memory=$usual
door=${LB_ADMIN-}

# Read in blocks: a shell without them reads byte by byte, which takes seconds where the file remembers a long list
# of workers. Only keys count: an offering may have the same name. An object of limits holds no others.
find_limits() {
    # Bytes are enough here, and are looked through faster than letters; the program keeps its own locale.
    local LC_ALL=C
    local block=65536 kept=4096 blank='[[:space:]]*' text='' more found=
    local limits="\"limits\"$blank:$blank[{][^}]*\"memory_mb\"$blank:$blank([1-9][0-9]*)[^0-9]"
    local admin="\"admin\"$blank:$blank\""
    while IFS= read -r -N "$block" more || [ -n "$more" ]; do
        text=$text$more
        if [ -z "$found" ] && [[ $text =~ $limits ]]; then
            found=${BASH_REMATCH[1]}
            # More digits than these are no size, and the shell might not reckon with them.
            [ "${#found}" -gt 6 ] || memory=$found
        fi
        if [ -z "$door" ] && [[ $text =~ $admin ]]; then
            door=file
        fi
        # What a block's end cuts in two is whole in the next.
        [ "${#text}" -le "$kept" ] || text=${text: -kept}
    done < "$LB_CONFIG"
}

# What cannot be read is the program's to tell, with the file or the key that is at fault.
if [ -r "$LB_CONFIG" ] && [ ! -d "$LB_CONFIG" ]; then
    find_limits
fi
# Where there is a door for operators this process is replaced beside its successor, and the two share the memory.
[ -z "$door" ] || memory=$((memory / 2))
heap=$((memory - own))
# Under the least nothing could be served; past the most a dispatcher has no use for it.
[ "$heap" -ge 16 ] || heap=16
[ "$heap" -le 96 ] || heap=96
first=$((heap < 24 ? heap : 24))
# Compiled is only what is called often: on part of a core the compiler's work takes longer than it spares.
# The locale data of the second kind are smaller: reading the first kind's takes a tenth of a start.
exec java -XX:SharedArchiveFile=daemon/target/serve.jsa -Xshare:auto -Xlog:disable -XX:+UseSerialGC \
    -XX:TieredStopAtLevel=1 -XX:CompileThresholdScaling=4 -XX:-UsePerfData -Djava.locale.providers=COMPAT \
    "-Xms${first}m" "-Xmx${heap}m" -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=16m \
    -XX:MaxDirectMemorySize=8m -Xss512k -XX:+ExitOnOutOfMemoryError -jar daemon/target/wheelroute.jar serve
