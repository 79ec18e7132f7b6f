package wheelroute.kit.many;

/**
 * One way from a dispatcher to another process.
 *
 * @param worker which worker, or {@link #LIST}
 */
public record Way(int dispatcher, int worker) {
    public static final int LIST = -1;

    public static Way toList(int dispatcher) {
        return new Way(dispatcher, LIST);
    }
}
