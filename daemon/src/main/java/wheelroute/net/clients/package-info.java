/** The HTTP server for clients, with its connections, requests and responses. */
package wheelroute.net.clients;
