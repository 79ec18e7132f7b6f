package wheelroute.kit.process;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Objects;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.Clients;

/** The clients' connections to all dispatchers of a run; on the event loop's thread. */
final class ClientTransport implements Clients.Transport {
    /** By dispatcher; null before its first process is ready. */
    private final ClientPool[] pools;

    private final boolean[] isListening;

    ClientTransport(int dispatchers) {
        pools = new ClientPool[dispatchers];
        isListening = new boolean[dispatchers];
    }

    /** A dispatcher accepts connections, at an address that may have changed. */
    void open(int dispatcher, ClientPool pool) {
        pools[dispatcher] = pool;
        isListening[dispatcher] = true;
    }

    /** A dispatcher accepts no more connections; open ones go on. */
    void stopListening(int dispatcher) {
        isListening[dispatcher] = false;
    }

    /** The processes of a dispatcher are about to be killed. */
    void onKill(int dispatcher) {
        pools[dispatcher].died();
    }

    /** Some of a dispatcher's connections may break now. */
    void onConnectionsBroken(int dispatcher) {
        pools[dispatcher].severed();
    }

    /** Whether each dispatcher has accepted connections at some time. */
    boolean haveAllBeenOpen() {
        return Arrays.stream(pools).noneMatch(Objects::isNull);
    }

    /** Where clients connect; null while the dispatcher accepts no connections. */
    InetSocketAddress address(int dispatcher) {
        return isListening[dispatcher] ? pools[dispatcher].address() : null;
    }

    /** Closes idle connections, for which a draining dispatcher would wait. */
    void closeIdle() {
        Arrays.stream(pools).filter(Objects::nonNull).forEach(ClientPool::closeIdle);
    }

    @Override
    public void submit(ClientAttempt clientAttempt) {
        pools[clientAttempt.dispatcher()].submit(clientAttempt);
    }

    @Override
    public void cancel(ClientAttempt clientAttempt) {
        pools[clientAttempt.dispatcher()].hangUp(clientAttempt);
    }

    @Override
    public boolean isOpen(int dispatcher) {
        return isListening[dispatcher];
    }
}
