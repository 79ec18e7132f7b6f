/** Two processes of one dispatcher: how they find each other, and what they tell while both run. */
package wheelroute.net.handover;
