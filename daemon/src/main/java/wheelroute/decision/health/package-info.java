/**
 * Outlier ejection, the reinstatement of ejected workers, and the detection of unresponsive
 * workers.
 */
package wheelroute.decision.health;
