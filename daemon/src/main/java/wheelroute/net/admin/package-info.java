/** The administrative server: operators' commands, one a connection. */
package wheelroute.net.admin;
