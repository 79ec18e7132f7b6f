package wheelroute.net.history;

/**
 * What a repeat has in common with the request that it repeats.
 *
 * @param key the idempotency key; the id that the client gave to the request, if the class has no
 *     keys
 */
public record RequestIdentity(String requestClass, String key) {}
