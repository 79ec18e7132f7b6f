/** The command line of dispatcher and kit. */
package wheelroute.kit.cli;
