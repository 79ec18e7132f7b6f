/** The command line of the dispatcher and its test kit. */
package wheelroute.kit.cli;
