/** Whether, where and how long a request may be attempted again. */
package wheelroute.decision.retry;
