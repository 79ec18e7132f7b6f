package wheelroute.net.history;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Iterator;
import java.util.NoSuchElementException;
import wheelroute.decision.EarlierAttempt;
import wheelroute.decision.Ids;

/**
 * Exports an {@link AttemptHistory} as lines of JSON, each with some of the entries, and imports
 * them in another process. Times are encoded as the time that is left, because the clocks of two
 * processes may differ. Used on the event loop's thread only.
 */
public final class AttemptHistoryTransfer {
    /** The entries of one line, which must be short enough for a message. */
    static final int ENTRIES_PER_LINE = 8192;

    private static final JsonFactory JSON = new JsonFactory();
    private static final String SEED = "seed";
    private static final String TICK_SECONDS = "tick";
    private static final String GROUPS = "groups";
    private static final String ENTRIES = "entries";

    private final AttemptHistory history;

    /** Creates a transfer from and to this history. */
    public AttemptHistoryTransfer(AttemptHistory history) {
        this.history = history;
    }

    /**
     * Returns the lines of an export, which are encoded one by one. They have the entries of the
     * time of this call.
     */
    public Iterator<String> export(double now) {
        Export export = new Export(now);
        return new Iterator<>() {
            private String next = export.encodeNext();

            @Override
            public boolean hasNext() {
                return next != null;
            }

            @Override
            public String next() {
                if (next == null) {
                    throw new NoSuchElementException();
                }
                String line = next;
                next = export.encodeNext();
                return line;
            }
        };
    }

    /** The entries and groups at one time; the history may change while they are encoded. */
    private final class Export {
        private final FingerprintTable.Snapshot snapshot;
        private final WorkerGroups.Group[] groups;
        private final long baseTick;
        private final long nowTick;

        Export(double now) {
            snapshot = history.snapshot(now);
            groups = history.groups().copy();
            baseTick = history.baseTick();
            nowTick = history.tickAt(now);
        }

        /** Returns the next line, or null if there is none. */
        String encodeNext() {
            if (snapshot == null) {
                return null;
            }
            ByteBuffer entries = ByteBuffer.allocate(ENTRIES_PER_LINE * Long.BYTES);
            int count =
                    snapshot.visitNext(
                            ENTRIES_PER_LINE,
                            (fingerprint, value) -> entries.putLong(encode(fingerprint, value)));
            return count == 0
                    ? null
                    : encodeLine(groups, Arrays.copyOf(entries.array(), entries.position()));
        }

        private long encode(long fingerprint, int value) {
            long expiryTick = AttemptHistory.expiryTick(value, baseTick);
            return (fingerprint << FingerprintTable.VALUE_BITS)
                    | ((long) AttemptHistory.groupOf(value) << AttemptHistory.TICK_BITS)
                    | Math.max(0, expiryTick - nowTick + AttemptHistory.SLACK_TICKS);
        }
    }

    private String encodeLine(WorkerGroups.Group[] groups, byte[] entries) {
        StringWriter out = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeNumberField(SEED, history.seed());
            json.writeNumberField(TICK_SECONDS, history.tickSeconds());
            json.writeArrayFieldStart(GROUPS);
            for (int index = 0; index < groups.length; index++) {
                if (groups[index] != null) {
                    json.writeNumber(index);
                    json.writeString(groups[index].zone().name());
                    json.writeNumber(groups[index].cell().value());
                }
            }
            json.writeEndArray();
            json.writeBinaryField(ENTRIES, entries);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("failed to write JSON to a string", e);
        }
        return out.toString();
    }

    /**
     * Imports one line of an export.
     *
     * @throws IOException if the line is malformed, or its seed differs from that of entries of
     *     this process; nothing is imported then
     */
    public void importLine(String line, double now) throws IOException {
        Long seed = null;
        double tickSeconds = Double.NaN;
        EarlierAttempt[] groups = new EarlierAttempt[1 << WorkerGroups.INDEX_BITS];
        Arrays.fill(groups, EarlierAttempt.atUnknownWorker(now));
        byte[] entries = null;
        try (JsonParser json = JSON.createParser(line)) {
            expect(json.nextToken() == JsonToken.START_OBJECT);
            while (json.nextToken() != JsonToken.END_OBJECT) {
                String name = json.currentName();
                expect(json.nextToken() != null);
                switch (name) {
                    case SEED -> seed = json.getLongValue();
                    case TICK_SECONDS -> tickSeconds = json.getDoubleValue();
                    case GROUPS -> decodeGroups(json, groups, now);
                    case ENTRIES -> entries = json.getBinaryValue();
                    default -> json.skipChildren();
                }
            }
        }
        expect(seed != null && tickSeconds > 0 && entries != null);
        expect(entries.length % Long.BYTES == 0);
        if (!history.adoptSeed(seed)) {
            throw new IOException("its seed is not that of the entries of this process");
        }
        merge(ByteBuffer.wrap(entries), groups, tickSeconds, now);
    }

    private static void decodeGroups(JsonParser json, EarlierAttempt[] groups, double now)
            throws IOException {
        expect(json.currentToken() == JsonToken.START_ARRAY);
        while (json.nextToken() != JsonToken.END_ARRAY) {
            expect(json.currentToken() == JsonToken.VALUE_NUMBER_INT);
            int index = json.getIntValue();
            expect(index >= 0 && index < groups.length);
            expect(json.nextToken() == JsonToken.VALUE_STRING);
            Ids.Zone zone = new Ids.Zone(json.getText());
            expect(json.nextToken() == JsonToken.VALUE_NUMBER_INT);
            groups[index] = new EarlierAttempt(zone, new Ids.Cell(json.getLongValue()), now);
        }
    }

    private void merge(
            ByteBuffer entries, EarlierAttempt[] groups, double tickSeconds, double now) {
        while (entries.hasRemaining()) {
            long entry = entries.getLong();
            long fingerprint = entry >>> FingerprintTable.VALUE_BITS;
            int value = (int) entry & ((1 << FingerprintTable.VALUE_BITS) - 1);
            int remaining = value & ((1 << AttemptHistory.TICK_BITS) - 1);
            double expiresAt = now + (remaining - AttemptHistory.SLACK_TICKS) * tickSeconds;
            history.mergeEntry(fingerprint, groups[AttemptHistory.groupOf(value)], expiresAt, now);
        }
    }

    private static void expect(boolean condition) throws IOException {
        if (!condition) {
            throw new IOException("the line is not a part of an attempt history");
        }
    }
}
