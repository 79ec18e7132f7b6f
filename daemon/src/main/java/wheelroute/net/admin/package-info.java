/** The operators' door: short calls on an address of their own, whatever the clients do. */
package wheelroute.net.admin;
