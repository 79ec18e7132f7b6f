/**
 * The adapter that connects dispatchers to the simulator, whose wire protocol runs on byte streams.
 * The adapter reads events, maps them to the types of this program, and writes the actions that the
 * policies decided on. Only this package uses the terms of the protocol; {@code WireMapping} and
 * {@code EventType} map them.
 */
package wheelroute.adapter;
