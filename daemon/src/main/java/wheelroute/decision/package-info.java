/**
 * The decisions of a dispatcher, and their public types. {@link wheelroute.decision.Policy} is the
 * entry; each question is answered by a class of its own:
 *
 * <ul>
 *   <li>What follows for a request, an attempt or an answer: {@link
 *       wheelroute.decision.routing.RequestPlacer}.
 *   <li>Which worker gets it: {@link wheelroute.decision.routing.WorkerSelector}, by {@link
 *       wheelroute.decision.routing.WorkerEligibility} and the least admittance cost.
 *   <li>Is it rejected because it would wait too long: {@link
 *       wheelroute.decision.admission.Admission}.
 *   <li>May it be attempted again: {@link wheelroute.decision.retry.RetryRules}; and how is an
 *       attempt without a response replaced: {@link wheelroute.decision.retry.AttemptReplacer}.
 *   <li>Which workers are ejected, and when do they come back: {@link
 *       wheelroute.decision.health.OutlierEjection}; which do not respond: {@link
 *       wheelroute.decision.health.UnresponsiveWorkerDetector}.
 *   <li>What may a worker get while it warms up: {@link wheelroute.decision.slowstart.SlowStart}.
 *   <li>When does the next request of a key begin: {@link wheelroute.decision.order.KeyQueues}.
 * </ul>
 *
 * <p>A request is also rejected where its key's queue is too long, by {@code KeyQueues}.
 *
 * <p>Comments refer to the four rules of the operators: (1) every accepted request gets exactly one
 * final answer before its deadline; (2) no request has its effect twice; (3) no attempt is sent
 * later than the grace after a worker is notified as draining or removed; (4) a worker that warms
 * up is not overloaded by all dispatchers together.
 *
 * <p>The choice is the first policy iteration rule of Hyytiä and Aalto, "To Split or not to Split",
 * section 4.1; docs/design.md says what was changed of it, and when each exception applies.
 */
package wheelroute.decision;
