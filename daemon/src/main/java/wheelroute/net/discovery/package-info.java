/** The watch on discovery, and the endpoint list that it reads. */
package wheelroute.net.discovery;
