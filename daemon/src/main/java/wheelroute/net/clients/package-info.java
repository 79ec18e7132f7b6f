/** The clients' side: connections, requests and responses. */
package wheelroute.net.clients;
