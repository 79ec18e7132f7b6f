/** Parsing and building of HTTP messages, independent of who sends or receives them. */
package wheelroute.net.http;
