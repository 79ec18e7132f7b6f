package wheelroute.kit.scenario;

import static wheelroute.kit.scenario.ScenarioFields.MAX_NUMBER;
import static wheelroute.kit.scenario.ScenarioFields.MAX_REQUESTS_PER_SECOND;
import static wheelroute.kit.scenario.ScenarioFields.MAX_SECONDS;
import static wheelroute.kit.scenario.ScenarioFields.REQUIRED;

import wheelroute.config.TomlFields;
import wheelroute.decision.Idempotency;
import wheelroute.decision.IdempotencyScope;

/** Reads the tables of a scenario file that describe workers, request classes and clients. */
final class WorkloadReader {
    static final int MAX_WORKERS = 100_000;
    private static final int MAX_SLOTS = 1024;
    private static final int MAX_QUEUE_CAPACITY = 1_000_000;
    private static final int MAX_RETRIES = 50;
    private static final double MAX_LOG_DEVIATION = 4;

    private WorkloadReader() {}

    static Scenario.WorkerGroup workerGroup(TomlFields fields) {
        String name = ScenarioFields.name(fields);
        return new Scenario.WorkerGroup(
                name,
                fields.text("model", name),
                fields.integer("count", 1, 1, MAX_WORKERS),
                fields.integer("slots", 1, 1, MAX_SLOTS),
                fields.number("speed", 1, 0.001, 1000),
                fields.text("zone", "a"),
                fields.integer("queue", 100, 0, MAX_QUEUE_CAPACITY),
                fields.number("memory", MAX_NUMBER, 0, MAX_NUMBER),
                fields.number("cold_share", 1, 0.01, 1),
                fields.number("cold_for", 0, 0, MAX_SECONDS),
                fields.number("tip_multiple", 4, 0.1, 1000),
                fields.number("tip_window", 3, 0.1, 60),
                fields.number("tip_request", 0, 0, MAX_SECONDS));
    }

    static Scenario.RequestClass requestClass(TomlFields fields) {
        String name = ScenarioFields.name(fields);
        double objectiveSeconds = fields.number("quoted", REQUIRED, 0.001, MAX_SECONDS);
        Scenario.RequestClass requestClass =
                new Scenario.RequestClass(
                        name,
                        fields.enumConstant("effect", Idempotency.IDEMPOTENT, Idempotency.class),
                        fields.enumConstant("group", IdempotencyScope.ALL, IdempotencyScope.class),
                        fields.number("share", 1, 0, MAX_NUMBER),
                        fields.number("work", REQUIRED, Scenario.MIN_WORK_SECONDS, MAX_SECONDS),
                        fields.number("spread", 0.5, 0, MAX_LOG_DEVIATION),
                        fields.number("hint_error", 0.3, -1, MAX_LOG_DEVIATION),
                        objectiveSeconds,
                        fields.number("stretch", 0, 0, 1000),
                        fields.number("outer", REQUIRED, 0.01, MAX_SECONDS),
                        fields.number("value", 1, 0.001, MAX_NUMBER),
                        fields.number("late_value", 0, 0, 1),
                        fields.number("window", 20, 0, MAX_SECONDS),
                        fields.integer("slots", 1, 1, MAX_SLOTS),
                        fields.number("memory", 0, 0, MAX_NUMBER));
        if (requestClass.deadlineSeconds() < objectiveSeconds) {
            fields.addError(
                    "outer",
                    "must be at least quoted, "
                            + objectiveSeconds
                            + ", or no response could be late: "
                            + requestClass.deadlineSeconds());
        }
        return requestClass;
    }

    static Scenario.Tenant tenant(TomlFields fields) {
        return new Scenario.Tenant(
                ScenarioFields.name(fields),
                fields.number("share", 1, 0.000001, MAX_NUMBER),
                fields.number("quota", 0, 0, MAX_REQUESTS_PER_SECOND));
    }

    static Scenario.LoadPoint loadPoint(TomlFields fields, double cycleSeconds) {
        return new Scenario.LoadPoint(
                fields.number("at", 0, 0, cycleSeconds),
                fields.number("rate", REQUIRED, 0, MAX_REQUESTS_PER_SECOND));
    }

    static Scenario.Clients clients(TomlFields fields) {
        return new Scenario.Clients(
                fields.integer("retries", 0, 0, MAX_RETRIES),
                fields.number("pause", 0.1, 0, 60),
                fields.number("least_wait", 0.25, 0.01, 60),
                fields.number("impatient", 0, 0, 1),
                fields.number("fresh", 0, 0, 1),
                fields.number("writes", 0, 0, 10));
    }
}
