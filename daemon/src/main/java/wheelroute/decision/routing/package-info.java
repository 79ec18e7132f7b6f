/**
 * Which worker gets a request: the choice by least admittance cost, and the attempt that follows.
 */
package wheelroute.decision.routing;
