/**
 * The adapter for the simulator, whose wire protocol runs on byte streams. Reads events, maps them
 * to the types of this program, and writes the actions that were decided on. Only this package uses
 * the terms of the protocol; {@code WireMapping} and {@code EventType} map them.
 */
package wheelroute.adapter;
