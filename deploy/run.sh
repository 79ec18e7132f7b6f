#!/usr/bin/env bash
# Starts one dispatcher. Its heap is computed from the memory limit in the configuration file that LB_CONFIG names.
# Uses only shell built-ins until the exec: where the system refuses to fork, a pipeline would end the start.
# runtime_mb: class data, compiled code, stacks and buffers take some 45 MB in addition to the heap.
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

# Reads limits.memory_mb and whether there is an admin address. The file is read in blocks, because reading single bytes
# takes seconds if it contains a long endpoint list. Only keys are matched, as a request class may have the same name.
# The object "limits" contains no other object.
find_limits() {
    # Matching bytes is faster than matching characters; the program keeps its own locale.
    local LC_ALL=C
    local block=65536 overlap=4096 blank='[[:space:]]*' text='' more found=
    local limits="\"limits\"$blank:$blank[{][^}]*\"memory_mb\"$blank:$blank([1-9][0-9]*)[^0-9]"
    local admin="\"admin\"$blank:$blank\""
    while IFS= read -r -N "$block" more || [ -n "$more" ]; do
        text=$text$more
        if [ -z "$found" ] && [[ $text =~ $limits ]]; then
            found=${BASH_REMATCH[1]}
            # More than 6 digits are not a sensible size, and may exceed the shell's arithmetic.
            [ "${#found}" -gt 6 ] || memory_mb=$found
        fi
        if [ -z "$admin_address" ] && [[ $text =~ $admin ]]; then
            admin_address=file
        fi
        # Keeps the end of the text, so that a key that spans two blocks is matched with the next block.
        [ "${#text}" -le "$overlap" ] || text=${text: -overlap}
    done < "$LB_CONFIG"
}

# If the file cannot be read, the program reports it.
if [ -r "$LB_CONFIG" ] && [ ! -d "$LB_CONFIG" ]; then
    find_limits
fi
# With an admin address a second process may run beside this one during a replacement, and the two share the limit.
[ -z "$admin_address" ] || memory_mb=$((memory_mb / 2))
heap_mb=$((memory_mb - runtime_mb))
# A smaller heap would be too small to serve anything, and a dispatcher does not need a larger one.
[ "$heap_mb" -ge "$min_heap_mb" ] || heap_mb=$min_heap_mb
[ "$heap_mb" -le "$max_heap_mb" ] || heap_mb=$max_heap_mb
[ "$heap_mb" -ge "$initial_heap_mb" ] || initial_heap_mb=$heap_mb
# CompileThresholdScaling: only methods that are called often are compiled, as on a fraction of a core compiling the others
# takes longer than it saves. COMPAT: these locale data are smaller; reading the default ones takes a tenth of a start.
exec java -XX:SharedArchiveFile=daemon/target/serve.jsa -Xshare:auto -Xlog:disable -XX:+UseSerialGC \
    -XX:TieredStopAtLevel=1 -XX:CompileThresholdScaling=4 -XX:-UsePerfData -Djava.locale.providers=COMPAT \
    "-Xms${initial_heap_mb}m" "-Xmx${heap_mb}m" -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=16m \
    -XX:MaxDirectMemorySize=8m -Xss512k -XX:+ExitOnOutOfMemoryError -jar daemon/target/wheelroute.jar serve
