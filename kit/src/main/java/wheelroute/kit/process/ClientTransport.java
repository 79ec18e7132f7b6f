package wheelroute.kit.process;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Objects;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.Clients;

/** The clients' connections to all dispatchers of a run. Used on the event loop's thread. */
final class ClientTransport implements Clients.Transport {
    /** By dispatcher; null before its first process is ready. */
    private final ClientPool[] pools;

    private final boolean[] isListening;

    ClientTransport(int dispatchers) {
        pools = new ClientPool[dispatchers];
        isListening = new boolean[dispatchers];
    }

    /** A dispatcher accepts connections, at the address of this pool, which may be a new one. */
    void open(int dispatcher, ClientPool pool) {
        pools[dispatcher] = pool;
        isListening[dispatcher] = true;
    }

    /** A dispatcher accepts no new connections; open ones remain in use. */
    void stopListening(int dispatcher) {
        isListening[dispatcher] = false;
    }

    /** The processes of a dispatcher are about to be killed. */
    void onKill(int dispatcher) {
        pools[dispatcher].onProcessKilled();
    }

    /** Some of a dispatcher's connections may break now. */
    void onConnectionsBroken(int dispatcher) {
        pools[dispatcher].onConnectionsBroken();
    }

    /** Whether each dispatcher has accepted connections at least once. */
    boolean haveAllBeenOpen() {
        return Arrays.stream(pools).noneMatch(Objects::isNull);
    }

    /** Returns where clients connect; null while the dispatcher accepts no connections. */
    InetSocketAddress address(int dispatcher) {
        return isListening[dispatcher] ? pools[dispatcher].address() : null;
    }

    /** Closes idle connections, because a draining dispatcher waits for them. */
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
