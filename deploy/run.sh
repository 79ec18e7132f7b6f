#!/usr/bin/env bash
# Starts one dispatcher with a heap that follows the memory limit in the file that LB_CONFIG names.
# Only shell built-ins until the exec: where fork is refused, a pipeline would end the start.
# Class data, compiled code, stacks and buffers take some 45 MB beside the heap.
set -euf
runtime_mb=45
default_mb=192
min_heap_mb=16
max_heap_mb=96
initial_heap_mb=24
if [ -z "${LB_CONFIG-}" ]; then
    echo "$0: LB_CONFIG: names no configuration file" >&2
    exit 2
fi
memory_mb=$default_mb
admin_address=${LB_ADMIN-}

# Reads limits.memory_mb and whether there is an admin address. The file is read in blocks, as byte by byte takes
# seconds where it holds a long endpoint list. Only keys count: a request class may have the same name. An object
# of limits holds no other object.
find_limits() {
    # Bytes are matched faster than characters; the program keeps its own locale.
    local LC_ALL=C
    local block=65536 overlap=4096 blank='[[:space:]]*' text='' more found=
    local limits="\"limits\"$blank:$blank[{][^}]*\"memory_mb\"$blank:$blank([1-9][0-9]*)[^0-9]"
    local admin="\"admin\"$blank:$blank\""
    while IFS= read -r -N "$block" more || [ -n "$more" ]; do
        text=$text$more
        if [ -z "$found" ] && [[ $text =~ $limits ]]; then
            found=${BASH_REMATCH[1]}
            # More digits are no size of a heap, and may be more than the shell can compute with.
            [ "${#found}" -gt 6 ] || memory_mb=$found
        fi
        if [ -z "$admin_address" ] && [[ $text =~ $admin ]]; then
            admin_address=file
        fi
        # What the end of a block cuts in two is complete in the next one.
        [ "${#text}" -le "$overlap" ] || text=${text: -overlap}
    done < "$LB_CONFIG"
}

# A file that cannot be read is left to the program, which names it or the key that is at fault.
if [ -r "$LB_CONFIG" ] && [ ! -d "$LB_CONFIG" ]; then
    find_limits
fi
# With an admin address a second process may run beside this one to replace it, and the two share the limit.
[ -z "$admin_address" ] || memory_mb=$((memory_mb / 2))
heap_mb=$((memory_mb - runtime_mb))
# With less nothing could be served, and a dispatcher has no use for more.
[ "$heap_mb" -ge "$min_heap_mb" ] || heap_mb=$min_heap_mb
[ "$heap_mb" -le "$max_heap_mb" ] || heap_mb=$max_heap_mb
[ "$heap_mb" -ge "$initial_heap_mb" ] || initial_heap_mb=$heap_mb
# Only what is called often is compiled: on part of a core compiling takes longer than it saves.
# The COMPAT locale data are smaller: reading the default ones takes a tenth of a start.
exec java -XX:SharedArchiveFile=daemon/target/serve.jsa -Xshare:auto -Xlog:disable -XX:+UseSerialGC \
    -XX:TieredStopAtLevel=1 -XX:CompileThresholdScaling=4 -XX:-UsePerfData -Djava.locale.providers=COMPAT \
    "-Xms${initial_heap_mb}m" "-Xmx${heap_mb}m" -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=16m \
    -XX:MaxDirectMemorySize=8m -Xss512k -XX:+ExitOnOutOfMemoryError -jar daemon/target/wheelroute.jar serve
