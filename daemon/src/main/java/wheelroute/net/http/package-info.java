/** Parsing and writing of HTTP messages. */
package wheelroute.net.http;
