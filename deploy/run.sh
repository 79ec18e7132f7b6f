#!/bin/sh
# Starts one dispatcher with a heap that follows the memory it may take, as LB_CONFIG tells.
# Nothing but the shell's own words until the exec: where forks are refused, a pipeline ends the start.
# The runtime itself, class data, compiled code, stacks and buffers take some 45 MB beside the heap.
set -euf
own=45
usual=192
: "${LB_CONFIG:?names no configuration file}"
text=
# What cannot be read is the program's to tell, with the file or the key that is at fault.
if [ -r "$LB_CONFIG" ] && [ ! -d "$LB_CONFIG" ]; then
    while read -r line || [ -n "$line" ]; do
        # A carriage return is a blank to JSON, but not to the shell.
        text="$text ${line%[[:cntrl:]]}"
        # As soon as it is there: a shell reads byte by byte, and the list of workers may be long. A colon follows
        # a key only: an offering may have the same name.
        case $line in
            *'"memory_mb":'*[0-9]* | *'"memory_mb" :'*[0-9]*) case $text in *'"limits"'*) break ;; esac ;;
        esac
    done < "$LB_CONFIG"
fi
# Without blanks, as JSON may hold them anywhere: split at them, and joined by an empty IFS.
set -- $text
IFS=
text=$*
# Split at closing braces: cutting a long text at a pattern would compare each of its beginnings.
IFS='}'
set -- $text
memory=$usual
for part in "$@"; do
    case $part in
        *'"limits":{'*'"memory_mb":'[1-9]*)
            memory=${part##*'"memory_mb":'}
            memory=${memory%%[!0-9]*}
            # More digits than these are no size, and the shell might not reckon with them.
            [ "${#memory}" -le 6 ] || memory=$usual
            ;;
    esac
done
unset IFS
# Where there is a door for operators this process is replaced beside its successor, and the two share the memory.
case $text in *'"admin":"'*) door=file ;; *) door=${LB_ADMIN-} ;; esac
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
