/** Parsing and building of HTTP messages, without any knowledge of their senders or receivers. */
package wheelroute.net.http;
