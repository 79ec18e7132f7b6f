package wheelroute.kit.model;

/** The final response of a dispatcher to a client's request. */
public enum FinalResponse {
    SUCCEEDED("fulfilled"),
    REJECTED("bounced"),
    FAILED("scrapped");

    private final String reportName;

    FinalResponse(String reportName) {
        this.reportName = reportName;
    }

    /** The response's name in reports. */
    public String reportName() {
        return reportName;
    }
}
