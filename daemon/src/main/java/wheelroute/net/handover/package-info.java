/** Two processes of one dispatcher: how they find each other, and what they send each other. */
package wheelroute.net.handover;
