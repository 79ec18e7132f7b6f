/** The rules that decide whether, where and for how long a request may be attempted again. */
package wheelroute.decision.retry;
