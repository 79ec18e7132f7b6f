/** The admin server, on which operators' scripts send commands, one a connection. */
package wheelroute.net.admin;
