package rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file that the platform hands to a dispatcher, with the settings of a small deployment. */
public final class Config {
    private final StringBuilder classes = new StringBuilder();
    private int memoryMb = 192;
    private int sockets = 1024;
    private int dispatchers = 2;
    private String discovery = "";
    private boolean secondCopies;
    private boolean cancel = true;
    private int graceMs = 2000;
    private String moreRules = "";
    private String moreSettings = "";

    public Config limits(int newMemoryMb, int newSockets) {
        memoryMb = newMemoryMb;
        sockets = newSockets;
        return this;
    }

    public Config dispatchers(int count) {
        dispatchers = count;
        return this;
    }

    public Config discovery(Discovery newDiscovery) {
        discovery = newDiscovery.address();
        return this;
    }

    public Config cancel(boolean allowed) {
        cancel = allowed;
        return this;
    }

    public Config secondCopies(boolean allowed) {
        secondCopies = allowed;
        return this;
    }

    public Config graceMs(int millis) {
        graceMs = millis;
        return this;
    }

    public Config rules(String json) {
        moreRules += "," + json;
        return this;
    }

    public Config settings(String json) {
        moreSettings += "," + json;
        return this;
    }

    /** Adds an offering; times are in milliseconds. */
    public Config offering(String name, String effect, String group, int quotedMs, int limitMs, int windowMs, String more) {
        classes.append(classes.length() == 0 ? "" : ",")
                .append("{\"name\":\"").append(name)
                .append("\",\"effect\":\"").append(effect)
                .append("\",\"group\":\"").append(group)
                .append("\",\"on_time_us\":").append(quotedMs * 1000L)
                .append(",\"hard_limit_us\":").append(limitMs * 1000L)
                .append(",\"window_us\":").append(windowMs * 1000L)
                .append(",\"late_value\":0.25,\"streamed\":false,\"worth\":2.0").append(more).append("}");
        return this;
    }

    /** Writes the file, with the list of discovery as the list last had. */
    public Path write(Path file, String listen, String admin, String known) throws IOException {
        String json =
                "{\"name\":\"n0\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery
                        + "\",\"seed\":\"8c1f30d27a5be964\""
                        + (admin.isEmpty() ? "" : ",\"admin\":\"" + admin + "\"")
                        + ",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "}"
                        + (known.isEmpty() ? "" : ",\"known\":" + known)
                        + ",\"settings\":{\"az\":\"a\",\"zones\":[\"a\"],\"balancers\":" + dispatchers
                        + ",\"position\":0,\"membership_mode\":\"ask\",\"counted_by\":\"work\",\"weights\":\"rough\""
                        + ",\"models\":[\"std-3core\"],\"request_classes\":[" + classes + "]"
                        + ",\"family_info\":{\"tells_start\":true,\"progress_us\":0}"
                        + ",\"permissions\":{\"cancel\":" + cancel + ",\"conn_idle_us\":60000000"
                        + ",\"connect_timeout_us\":250000,\"max_retry_after_us\":2000000,\"may_duplicate\":" + secondCopies
                        + ",\"most_tries\":6,\"retry_after\":true}"
                        + ",\"rules\":{\"ask_every_us\":10000000,\"cold_from\":0.31,\"cold_us\":8900000,\"fall_us\":1000000"
                        + ",\"grace_to_answer_us\":20000,\"stop_sending_within_us\":" + graceMs * 1000L
                        + ",\"tip_multiple\":4.0" + moreRules + "}" + moreSettings + "}}";
        return Files.writeString(file, json);
    }
}
