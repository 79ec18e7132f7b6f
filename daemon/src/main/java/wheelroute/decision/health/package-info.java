/** Outlier ejection and recovery, and the detection of unresponsive workers. */
package wheelroute.decision.health;
