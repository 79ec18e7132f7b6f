/** The admin server, to which operators' scripts send commands, one command per connection. */
package wheelroute.net.admin;
