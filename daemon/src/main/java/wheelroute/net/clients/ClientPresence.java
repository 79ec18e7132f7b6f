package wheelroute.net.clients;

/** Whether the client of a request is still connected. */
public enum ClientPresence {
    /** All input has been read, and the end of the stream was not behind it. */
    CONNECTED,
    /** The connection has ended. */
    GONE,
    /** The client has sent too much input to find out, so that no attempt may be started. */
    UNCERTAIN
}
