package wheelroute.kit.process;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Objects;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.Clients;

/** Client connections to all dispatchers of a run. Used on the event loop's thread. */
final class ClientTransport implements Clients.Transport {
    /**
     * Connection pools by dispatcher number; null before the first process of the dispatcher is
     * ready.
     */
    private final ClientPool[] pools;

    private final boolean[] isListening;

    ClientTransport(int dispatchers) {
        pools = new ClientPool[dispatchers];
        isListening = new boolean[dispatchers];
    }

    /**
     * Sends the requests for a dispatcher through this pool from now on, because the dispatcher
     * accepts connections at the address of the pool. The address may differ from the one before.
     */
    void open(int dispatcher, ClientPool pool) {
        pools[dispatcher] = pool;
        isListening[dispatcher] = true;
    }

    /** Opens no new connections to a dispatcher from now on; open ones remain in use. */
    void stopListening(int dispatcher) {
        isListening[dispatcher] = false;
    }

    /** Prepares for the kill of all processes of a dispatcher; must be called before the kill. */
    void onKill(int dispatcher) {
        pools[dispatcher].onProcessKilled();
    }

    /**
     * Marks the open connections to a dispatcher as ones that may break for reasons outside the
     * dispatcher.
     */
    void onConnectionsBroken(int dispatcher) {
        pools[dispatcher].onConnectionsBroken();
    }

    /** Whether each dispatcher has accepted connections at least once. */
    boolean haveAllBeenOpen() {
        return Arrays.stream(pools).noneMatch(Objects::isNull);
    }

    /**
     * Returns the address for client connections to a dispatcher; null while the dispatcher accepts
     * none.
     */
    InetSocketAddress address(int dispatcher) {
        return isListening[dispatcher] ? pools[dispatcher].address() : null;
    }

    /**
     * Closes the idle connections to all dispatchers, because a draining dispatcher waits until its
     * clients have closed their connections.
     */
    void closeIdle() {
        Arrays.stream(pools).filter(Objects::nonNull).forEach(ClientPool::closeIdle);
    }

    @Override
    public void submit(ClientAttempt clientAttempt) {
        pools[clientAttempt.dispatcher()].submit(clientAttempt);
    }

    @Override
    public void cancel(ClientAttempt clientAttempt) {
        pools[clientAttempt.dispatcher()].cancel(clientAttempt);
    }

    @Override
    public boolean isOpen(int dispatcher) {
        return isListening[dispatcher];
    }
}
