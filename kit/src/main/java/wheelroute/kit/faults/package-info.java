/**
 * Many processes under faults: which ways between them are harmed and how (pure), and the relays
 * through which every byte of a real run passes where ways can be harmed.
 */
package wheelroute.kit.faults;
