package wheelroute.kit.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import wheelroute.config.TomlFields;
import wheelroute.kit.model.ClientAttempt;
import wheelroute.kit.model.FinalResponse;
import wheelroute.kit.scenario.Scenario;

/** What is known of a client's attempt and of its dispatcher's attempts at workers. */
final class RequestRecord {
    /** An event in the record's history; the worker or dispatcher is negative for none. */
    private record Event(double time, String text, int subject) {}

    final ClientAttempt clientAttempt;
    final List<ObservedAttempt> attempts = new ArrayList<>(2);

    /** Null until the client has a final response. */
    FinalResponse response;

    double respondedAt = Double.NaN;

    /** When the client cancelled of its own accord, before any response. */
    double cancelledAt = Double.NaN;

    /** The client no longer waits, or its connection was lost or refused. */
    boolean abandoned;

    /** A fault at the dispatcher excuses it from a response. */
    boolean excused;

    /** The link from the client was impaired: the dispatcher cannot know when its time began. */
    boolean startUnknown;

    /** The dispatcher was paused while it accepted the request, and completes that when resumed. */
    boolean pausedMidTurn;

    /** A worker has completed an attempt. */
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

    /** When the client's timeout is reached. */
    double deadline() {
        return clientAttempt.sentAt() + clientAttempt.timeoutSeconds();
    }

    void addEvent(double time, String text) {
        addEvent(time, text, -1);
    }

    void addEvent(double time, String text, int subject) {
        events.add(new Event(time, text, subject));
    }

    /** The record in lines of text, with times from the start of the run. */
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

    /** Seconds as text, to the millisecond. */
    static String seconds(double time) {
        return String.format(Locale.ROOT, "%.3f", time);
    }
}
