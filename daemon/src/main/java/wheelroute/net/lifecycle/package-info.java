/** The start, reload, drain and end of one dispatcher process. */
package wheelroute.net.lifecycle;
