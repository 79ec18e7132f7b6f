package wheelroute.adapter;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** The types of the events of a dispatcher, with the words that introduce them on the wire. */
enum EventType {
    REQUEST("ORDER"),
    ATTEMPT_ENDED("FINISHED"),
    ATTEMPT_UPDATE("UPDATE_OF"),
    ATTEMPT_STREAMING("HEADERS"),
    CLIENT_GONE("GONE"),
    WAKEUP("BELL"),
    ENDPOINT_LIST("SYNC"),
    HEALTH_CHECK_RESULT("PROBED"),
    PEER_MESSAGE("MAIL"),
    INSTANCE_KILLED("KILLED");

    private static final Map<String, EventType> BY_WIRE_WORD =
            Arrays.stream(values())
                    .collect(
                            Collectors.toUnmodifiableMap(
                                    type -> type.wireWord, Function.identity()));

    private final String wireWord;

    EventType(String wireWord) {
        this.wireWord = wireWord;
    }

    /** Returns the type of the events that a word introduces; null for an unknown word. */
    static EventType ofWireWord(String word) {
        return BY_WIRE_WORD.get(word);
    }
}
