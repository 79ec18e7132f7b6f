package wheelroute.net.clients;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

/**
 * Gives each open connection the lowest number that no other one has, so that a client that closes
 * its connections and opens others is counted as one by whoever counts by number. Not thread-safe.
 *
 * @param <C> the type of the connections
 */
final class ConnectionNumbers<C> {
    private final BitSet used = new BitSet();
    private final Map<C, Integer> numbers = new HashMap<>();

    /** Gives a number to a connection. */
    void add(C connection) {
        int number = used.nextClearBit(0);
        used.set(number);
        numbers.put(connection, number);
    }

    /** Takes the number back; does nothing if the connection has none. */
    void remove(C connection) {
        Integer number = numbers.remove(connection);
        if (number != null) {
            used.clear(number);
        }
    }

    /** Returns the number of a connection that has one. */
    int get(C connection) {
        return numbers.get(connection);
    }
}
