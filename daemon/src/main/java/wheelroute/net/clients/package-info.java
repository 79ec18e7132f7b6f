/** The server for clients: connections, requests and responses. */
package wheelroute.net.clients;
