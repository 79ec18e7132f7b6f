package wheelroute.kit.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import wheelroute.config.TomlFields;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.scenario.Scenario;

/** The observations of a client's attempt and of its dispatcher's attempts at workers. */
final class RequestRecord {
    /**
     * An event in the history of a request.
     *
     * @param subject the number of the worker or dispatcher concerned; negative for none
     */
    private record Event(double time, String text, int subject) {}

    final ClientAttempt clientAttempt;
    final List<ObservedAttempt> attempts = new ArrayList<>(2);

    /** The final response; null until the client has received one. */
    FinalResponse response;

    double respondedAt = Double.NaN;

    /** When the client cancelled before a response; NaN if it did not. */
    double cancelledAt = Double.NaN;

    /** Whether the client stopped waiting, or its connection was lost or refused. */
    boolean abandoned;

    /** Whether a fault at the dispatcher excuses a late or missing response. */
    boolean excused;

    /**
     * Whether the link from the client was impaired, so that the dispatcher cannot know when the
     * client sent the request.
     */
    boolean sendTimeUnknown;

    /**
     * Whether the dispatcher was paused while accepting the request, which it completes when it is
     * resumed.
     */
    boolean pausedDuringAcceptance;

    /** Whether a worker has completed an attempt of the request. */
    boolean succeeded;

    private final List<Event> events = new ArrayList<>();

    RequestRecord(ClientAttempt clientAttempt) {
        this.clientAttempt = clientAttempt;
    }

    int dispatcher() {
        return clientAttempt.dispatcher();
    }

    Scenario.RequestClass requestClass() {
        return clientAttempt.request().requestClass();
    }

    /** Returns when the client's timeout is reached. */
    double deadline() {
        return clientAttempt.sentAt() + clientAttempt.timeoutSeconds();
    }

    void addEvent(double time, String text) {
        addEvent(time, text, -1);
    }

    void addEvent(double time, String text, int subject) {
        events.add(new Event(time, text, subject));
    }

    /** Returns the history in lines of text, with times relative to the start of the run. */
    List<String> history(double start) {
        List<String> lines = new ArrayList<>();
        lines.add(
                "request "
                        + clientAttempt.request().number()
                        + ", attempt "
                        + clientAttempt.number()
                        + ", "
                        + requestClass().name()
                        + " ("
                        + TomlFields.configuredName(requestClass().idempotency())
                        + "), timeout "
                        + seconds(clientAttempt.timeoutSeconds())
                        + " s");
        for (Event event : events) {
            String subject = event.subject() < 0 ? "" : " " + event.subject();
            lines.add(seconds(event.time() - start) + " s  " + event.text() + subject);
        }
        return lines;
    }

    /** Formats a time in seconds with three decimals. */
    static String seconds(double time) {
        return String.format(Locale.ROOT, "%.3f", time);
    }
}
